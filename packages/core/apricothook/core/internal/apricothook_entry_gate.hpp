#pragma once

#include <apricothook/homes/apricothook_customer_limits.hpp>
#include <apricothook/requests/apricothook_admission_gate.hpp>
#include <apricothook/suspects/apricothook_suspect_list.hpp>

#include <map>

namespace Apricothook {

/** Limits and quarantine at an entry; knows what runs where, to tell who was there at a crash. */
class EntryGate : public AdmissionGate
{
public:
    EntryGate(CustomerLimits &limits, SuspectList &suspects)
        : m_limits(limits), m_suspects(suspects)
    {
    }

    std::optional<Refusal> admit(const CustomerId &customer, Instant now) override;
    bool isQuarantined(Fingerprint fingerprint, Instant now) override;
    std::vector<TargetId> excludedFor(Fingerprint fingerprint, Instant now) override;
    void runStarted(Fingerprint fingerprint, const TargetId &target, Instant now) override;
    void runEnded(Fingerprint fingerprint, const TargetId &target, RunEnd end, Instant now,
                  Outbox &out) override;

private:
    struct Runs
    {
        std::map<Fingerprint, std::uint32_t> running;
        /** The crash that is being told of: its other requests end one after the other. */
        Instant crashedAt {};
    };

    CustomerLimits &m_limits;
    SuspectList &m_suspects;
    std::map<TargetId, Runs> m_runs;
};

} // namespace Apricothook
