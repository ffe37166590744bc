#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/suspects/apricothook_suspects_event.hpp>

#include <map>
#include <unordered_map>

namespace Apricothook {

struct SuspectLimits
{
    /** Time for which a crash is remembered. */
    Duration memory = std::chrono::minutes(30);
    /** Time for which a quarantined request is refused before it is tried once. */
    Duration quarantine = std::chrono::minutes(10);
    /** A trial that isn't ended within this time counts as lost. */
    Duration trial = std::chrono::minutes(2);
    std::size_t suspects = 1024;
    /** Targets that are remembered per suspect. */
    std::size_t targets = 16;
    /** Members that a notice is sent to, by its source and by each member that learns from it. */
    std::size_t fanOut = 3;
    auto operator<=>(const SuspectLimits &) const = default;
};

enum class SuspectVerdict {
    Clear,
    Trial, ///< The quarantine is over; this attempt decides, and its outcome must be reported.
    Quarantined, ///< Refused; the request has not run.
};

/** A target crashed while it was running these requests of this entry daemon. */
struct TargetCrash
{
    TargetId target;
    std::vector<Fingerprint> running;
};

/**
 * Detects requests that crash their targets, by fingerprint; see docs/SUSPECTS.md.
 *
 * A crash makes all requests that were running on the target suspects. A request is quarantined
 * once it alone was running at the crashes of two different targets. If another request was running
 * at both, either may be the cause, and both stay free until a further crash tells them apart.
 */
class SuspectList
{
public:
    SuspectList(const MemberView &members, RandomSource &random, EventSink &events,
                SuspectLimits limits = {});

    void recordCrash(const TargetCrash &crash, Instant now, Outbox &out);
    /** Clears a request that was answered completely, since it doesn't crash its target. */
    void recordAnswer(Fingerprint fingerprint, Instant now);
    void handle(const MemberId &from, const SuspectNotice &notice, Instant now, Outbox &out);

    /** Called before each dispatch; returns Trial to one attempt at a time. */
    SuspectVerdict check(Fingerprint fingerprint, Instant now);
    /** Remaining time of a quarantine, for Retry-After. */
    Duration quarantineLeft(Fingerprint fingerprint, Instant now) const;
    /** Targets that this request may have crashed; it is sent to others. */
    std::vector<TargetId> excludedTargets(Fingerprint fingerprint) const;
    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }
    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::vector<TargetId> crashed;
        Instant lastCrash {};
        /** End of the quarantine; empty if the request isn't quarantined. */
        std::optional<Instant> quarantinedUntil;
        std::optional<Instant> trialUntil;
    };

    bool addCrash(Fingerprint fingerprint, const TargetId &target, Instant now);
    bool isOnlyExplanation(Fingerprint fingerprint, const Suspect &suspect) const;
    bool isOtherSuspectAtBoth(Fingerprint fingerprint, const TargetId &first,
                              const TargetId &second) const;
    /** Quarantines or frees all requests that were running at a crash of one of these targets. */
    void reevaluate(const std::vector<TargetId> &targets, Instant now);
    void reevaluateOne(Fingerprint fingerprint, Suspect &suspect, Instant now);
    void sendNotice(Fingerprint fingerprint, Instant now, Outbox &out);
    void dropExpired(Instant now);
    void remove(Fingerprint fingerprint);
    void evictOne();
    void record(SuspectsEvent event, Fingerprint fingerprint, const std::string &details);

    const MemberView &m_members;
    RandomSource &m_random;
    EventSink &m_events;
    SuspectLimits m_limits;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::map<TargetId, std::vector<Fingerprint>> m_suspectsByTarget;
};

} // namespace Apricothook
