#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** Quarantines requests that crash the targets that run them. */
class SuspectGuard
{
public:
    virtual ~SuspectGuard() = default;
    /** The remaining quarantine of the request; nothing if it may be sent. */
    virtual std::optional<Duration> quarantine(Fingerprint request) = 0;
    /** Records that a target completed the request. */
    virtual void recordAnswer(Fingerprint request) = 0;
    /** Records that the target crashed while it ran the requests. */
    virtual void recordCrash(const TargetId &target, const std::vector<Fingerprint> &requests) = 0;
};

/** Quarantines nothing. */
class NullSuspectGuard : public SuspectGuard
{
public:
    std::optional<Duration> quarantine(Fingerprint) override { return std::nullopt; }
    void recordAnswer(Fingerprint) override { }
    void recordCrash(const TargetId &, const std::vector<Fingerprint> &) override { }
};

} // namespace Apricothook
