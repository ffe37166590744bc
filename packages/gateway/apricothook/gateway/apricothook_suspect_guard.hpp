#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** Knows which requests crash the targets that run them. */
class SuspectGuard
{
public:
    virtual ~SuspectGuard() = default;
    /** For how long the request is kept from targets; nothing when it may be sent now. */
    virtual std::optional<Duration> quarantine(Fingerprint request) = 0;
    /** A target ran the request to its end. */
    virtual void recordAnswer(Fingerprint request) = 0;
    /** The requests were lost with the target. */
    virtual void recordCrash(const TargetId &target, const std::vector<Fingerprint> &requests) = 0;
};

/** Suspects nobody. */
class NullSuspectGuard : public SuspectGuard
{
public:
    std::optional<Duration> quarantine(Fingerprint) override { return std::nullopt; }
    void recordAnswer(Fingerprint) override { }
    void recordCrash(const TargetId &, const std::vector<Fingerprint> &) override { }
};

} // namespace Apricothook
