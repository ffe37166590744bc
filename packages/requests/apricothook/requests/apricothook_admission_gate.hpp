#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_refusal.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** Limits of customers and the quarantine of requests that crash their targets. */
class AdmissionGate
{
public:
    virtual ~AdmissionGate() = default;
    /** Counts one request against the customer's limit; a refusal when it goes over. */
    virtual std::optional<Refusal> admit(const CustomerId &customer, Instant now) = 0;
    virtual bool isQuarantined(Fingerprint fingerprint, Instant now) = 0;
    /** Targets that this request crashed before. */
    virtual std::vector<TargetId> excludedFor(Fingerprint fingerprint, Instant now) = 0;
    virtual void runStarted(Fingerprint fingerprint, const TargetId &target, Instant now) = 0;
    virtual void runEnded(Fingerprint fingerprint, const TargetId &target, RunEnd end, Instant now,
                          Outbox &out)
        = 0;
};

} // namespace Apricothook
