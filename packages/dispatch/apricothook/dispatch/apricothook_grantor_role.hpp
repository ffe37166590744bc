#pragma once

#include <apricothook/dispatch/apricothook_grantor_ranking.hpp>
#include <apricothook/dispatch/apricothook_unit_bucket.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Apricothook {

/** How a daemon became a limit's grantor, or ceased to be it. */
enum class GrantorChange {
    TakenOver,  ///< Another daemon handed over its remaining units.
    TakenEmpty, ///< No other daemon answered; the bucket starts empty.
    HandedOver, ///< Another daemon claimed the limit.
};

std::string_view nameOf(GrantorChange change);

/** Notified when this daemon becomes or ceases to be a limit's grantor. */
class GrantorListener
{
public:
    virtual ~GrantorListener() = default;
    virtual void onGrantorChanged(std::uint64_t limit, GrantorChange change, double level) = 0;
};

/**
 * Manages the limits whose units this daemon grants.
 *
 * Units are created in a single bucket, at one daemon at a time, and are taken from it before a
 * request may use them. A new grantor starts empty unless the former one handed over its remaining
 * units, so both together grant what one bucket allows. A lost message loses units but never
 * creates any.
 *
 * The daemon that ranks first by GrantorRanking claims the limit from those that rank next and
 * waits ClaimTimeout for an answer. A daemon that is asked for units because those before it are
 * silent does the same. If two daemons claim a limit, the lower-ranked one yields and hands over
 * its units.
 */
class GrantorRole
{
public:
    /**
     * Time for which a new grantor, and callers with it, wait for the former one to hand over.
     * Three claims fit in, so that a lost datagram doesn't empty the bucket.
     */
    static constexpr std::chrono::milliseconds ClaimTimeout {240};
    static constexpr std::chrono::milliseconds ClaimInterval {80};
    /**
     * Time before a daemon that handed over because it reached only part of the fleet claims again,
     * unless it reaches the whole fleet earlier.
     */
    static constexpr std::chrono::seconds ReclaimDelay {5};
    /**
     * Time after a start of all daemons in which there was no grantor yet. Discovery takes most of
     * it. The first bucket is filled for this time, because all callers come back at once.
     */
    static constexpr std::chrono::milliseconds LongestVacancy {1500};
    /** Without a review for this long the daemon was stalled and may have been replaced. */
    static constexpr std::chrono::milliseconds StallTimeout {500};

    GrantorRole(LimitPeer self, LimitMessenger &messenger, GrantorListener &listener,
                RandomSource &random);

    /** Replaces all limits; those that aren't among `budgets` have no grantor. */
    void setBudgets(const UnitBudgets &budgets, Instant now);
    /** Sets or removes one limit; `knowsFleet` as in review(). */
    void setBudget(std::uint64_t limit, const std::optional<UnitBudget> &budget, bool knowsFleet,
                   Instant now);
    /** `startedTogether`: start time of this daemon if all others started with it. */
    void setMembers(std::vector<GrantorCandidate> members,
                    std::optional<Instant> startedTogether = std::nullopt);
    /**
     * Sets the fraction of the limits that this daemon may grant, from
     * limitFractionOf().
     */
    void setLimitFraction(double limitFraction, Instant now);
    /** `knowsFleet`: this daemon has heard from the others, so it may claim limits. */
    void review(bool knowsFleet, Instant now);
    /** Next time at which review() has to repeat or end a claim; empty if there is none. */
    std::optional<Instant> nextReview() const;

    bool isGrantor(std::uint64_t limit) const;
    /** Whether this daemon may become a grantor, so that its reachability must be estimated. */
    bool isCandidate() const { return m_ranking.isCandidate(m_self); }
    UnitsReply answer(const UnitsRequest &request, Instant now);
    void take(const GrantorClaim &claim, Instant now);
    void take(const GrantorHandover &handover, Instant now);
    void take(const UnitsReturn &returned, Instant now);
    /**
     * Right after a start of all daemons, a claim ends as soon as every daemon that was asked has
     * denied it. Later, a daemon that isn't known here may be the grantor and still answer.
     */
    void take(const GrantorDenial &denial, Instant now);
    const GrantorRanking &ranking() const { return m_ranking; }

private:
    enum class State { NotGrantor, Claiming, Grantor };

    struct Role
    {
        State state = State::NotGrantor;
        UnitBudget budget;
        UnitBucket bucket;
        /** Own units that are retained while another grantor is searched for. */
        double retainedUnits = 0;
        /** When the current state began. */
        Instant stateSince {};
        /** When a claim was last sent. */
        Instant lastClaim {};
        /** No claim is sent before this, unless the whole fleet is reached. */
        Instant noClaimBefore {};
        /** When a claim was last answered with a claim of this daemon. */
        Instant lastClaimAnswer {};
        std::uint64_t claimId = 0;
        /** Members that were asked and haven't denied the claim. */
        std::set<std::uint64_t> pendingDenials;
        /** The last handover sent; repeated if its claim is received again. */
        GrantorHandover lastHandover;
    };

    bool reachesFleet() const { return m_limitFraction >= 1; }
    bool ranksFirst(std::uint64_t limit) const;
    bool mayClaim(std::uint64_t limit, const Role &role, Instant now) const;
    /**
     * Whether this daemon is among the highest-ranked ones, whose claims reach each other, so that
     * all but one of them yield.
     */
    bool isAmongHighestRanked(std::uint64_t limit) const;
    void review(std::uint64_t limit, Role &role, Instant now);
    /** Whether all daemons have just started, so that no units were granted before. */
    bool hasFleetJustStarted(Instant now) const;
    /**
     * Time since which no daemon but a former grantor that is alive and unheard can have granted.
     */
    Instant vacantSince(const Role &role, Instant now) const;
    /**
     * Claims all limits again if this daemon was stalled: another one may have taken them over.
     */
    void handleStall(Instant now);
    void startClaim(std::uint64_t limit, Role &role, Instant now);
    void deny(const GrantorClaim &claim);
    void sendClaim(std::uint64_t limit, Role &role, Instant now);
    void becomeGrantor(std::uint64_t limit, Role &role, double level, GrantorChange change,
                       Instant now);
    void handOver(const GrantorClaim &claim, Role &role, Instant now);
    /** Leaves the limit to the sender, which ranks before this daemon. */
    void yield(const GrantorClaim &claim, Role &role, Instant now);
    /**
     * Claims the limit from the sender, which ranks after this daemon and may be its grantor.
     */
    void claimFrom(const GrantorClaim &claim, Role &role, Instant now);
    /** Whether a message that adds units, identified by its number, hasn't been applied yet. */
    bool isNew(std::uint64_t message);

    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    GrantorListener &m_listener;
    RandomSource &m_random;
    GrantorRanking m_ranking;
    std::map<std::uint64_t, Role> m_roles;
    bool m_knowsFleet = false;
    std::optional<Instant> m_startedTogether;
    Instant m_lastReview {};
    double m_limitFraction = 1;
    /** Numbers of the last messages that added units. */
    std::deque<std::uint64_t> m_applied;
};

} // namespace Apricothook
