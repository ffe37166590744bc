#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/suspects/apricothook_suspects_event.hpp>

#include <map>
#include <unordered_map>

namespace Apricothook {

struct SuspectLimits
{
    /** A crash is remembered this long. */
    Duration memory = std::chrono::minutes(30);
    /** A quarantined request is refused this long, then tried once. */
    Duration quarantine = std::chrono::minutes(10);
    /** A trial that nobody ended counts as lost after this. */
    Duration trial = std::chrono::minutes(2);
    std::size_t suspects = 1024;
    /** Targets remembered for one suspect. */
    std::size_t targets = 16;
    /** Members that a piece of news is sent to, at its source and once at each who learns it. */
    std::size_t fanOut = 3;
    auto operator<=>(const SuspectLimits &) const = default;
};

enum class SuspectVerdict {
    Clear,
    Trial,       ///< The quarantine is over; this one attempt decides. Report how it ends.
    Quarantined, ///< Refused as not run.
};

/** A target crashed while it ran these requests of this entry. */
struct TargetCrash
{
    TargetId target;
    std::vector<Fingerprint> running;
};

/**
 * Finds requests that crash the targets which run them, by fingerprint; see docs/SUSPECTS.md.
 *
 * A crash casts suspicion on all requests that ran there. A request is quarantined once it alone
 * was running at crashes of two different targets: where another request was at the same two,
 * either may be to blame, and both stay free until a further crash tells them apart.
 */
class SuspectList
{
public:
    SuspectList(const MemberView &members, RandomSource &random, EventSink &events,
                SuspectLimits limits = {});

    void recordCrash(const TargetCrash &crash, Instant now, Outbox &out);
    /** A request was answered whole: it doesn't crash what runs it. */
    void recordAnswer(Fingerprint fingerprint, Instant now);
    void handle(const MemberId &from, const SuspectNotice &notice, Instant now, Outbox &out);

    /** Asked before each dispatch; Trial is given out once. */
    SuspectVerdict check(Fingerprint fingerprint, Instant now);
    /** Time left of a quarantine, for Retry-After. */
    Duration quarantineLeft(Fingerprint fingerprint, Instant now) const;
    /** Targets that this request may have crashed: it is sent to others. */
    std::vector<TargetId> excludedTargets(Fingerprint fingerprint) const;
    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }
    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::vector<TargetId> crashed;
        Instant lastCrash {};
        /** End of the quarantine; absent while it isn't quarantined. */
        std::optional<Instant> until;
        std::optional<Instant> trialUntil;
    };

    bool learn(Fingerprint fingerprint, const TargetId &target, Instant now);
    bool explainsAlone(Fingerprint fingerprint, const Suspect &suspect) const;
    bool sharesBoth(Fingerprint fingerprint, const TargetId &first, const TargetId &second) const;
    /** Quarantines or frees everyone that was at one of these targets. */
    void judge(const std::vector<TargetId> &targets, Instant now);
    void judgeOne(Fingerprint fingerprint, Suspect &suspect, Instant now);
    void spread(Fingerprint fingerprint, Instant now, Outbox &out);
    void forgetOld(Instant now);
    void forget(Fingerprint fingerprint);
    void makeRoom();
    void record(SuspectsEvent event, Fingerprint fingerprint, const std::string &more);

    const MemberView &m_members;
    RandomSource &m_random;
    EventSink &m_events;
    SuspectLimits m_limits;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
    std::map<TargetId, std::vector<Fingerprint>> m_byTarget;
};

} // namespace Apricothook
