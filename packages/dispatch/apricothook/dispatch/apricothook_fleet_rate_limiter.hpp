#pragma once

#include <apricothook/dispatch/apricothook_grantor_role.hpp>
#include <apricothook/dispatch/apricothook_local_units.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Apricothook {

/** What decided whether a request got its units. */
enum class LimitSource {
    Unlimited, ///< There is no limit.
    Stock,     ///< Units that were granted earlier.
    Grantor,   ///< The grantor's answer.
    Credit,    ///< This daemon's share of the credit, because no grantor answered.
    Nobody,    ///< No grantor answered, and the credit was used up.
};

std::string_view nameOf(LimitSource source);

/**
 * Whether a request got its units, and what decided it. All amounts but fractions are in
 * units.
 */
struct LimitDecision
{
    bool isAdmitted = false;
    LimitSource source = LimitSource::Unlimited;
    UnitDemand demand;
    /** State of the limit's bucket as reported by the grantor; zero if no grantor was asked. */
    double level = 0;
    double bucket = 0;
    double perSecond = 0;
    /** memberHash() of the daemon that decided; zero if none did. */
    std::uint64_t grantor = 0;
    /** How long the request waited for the decision, and how many messages were sent for it. */
    Duration waited {};
    unsigned queries = 0;
    /** Time after which a refused caller may get its units. */
    Duration retryAfter {};

    auto operator<=>(const LimitDecision &) const = default;
};

/** Receives the decisions that take() could not return at once. */
class LimitListener
{
public:
    virtual ~LimitListener() = default;
    virtual void onLimitDecided(ExchangeId exchange, const LimitDecision &decision) = 0;
};

/** Units of a limit that a request needs. */
struct LimitedUnits
{
    /** Identifies the limit: customerHash(), targetHash() or traitNumber(). */
    std::uint64_t limit = 0;
    UnitBudget budget;
    UnitDemand demand;
    /** Longest time for which the request waits for a grantor's answer. */
    Duration longestWait {};

    auto operator<=>(const LimitedUnits &) const = default;
};

/** What the limits depend on in the fleet. */
struct FleetMembership
{
    /** All live members, including this one. */
    std::vector<GrantorCandidate> members;
    /** Number of members, including those that may be serving without being heard. */
    std::size_t known = 1;
    /** This daemon has heard from the others, so their number is meaningful. */
    bool isComplete = true;
    /**
     * Start time of this daemon if all others started with it, so that no units were granted
     * before.
     */
    std::optional<Instant> startedTogether;
};

/**
 * Enforces limits of the whole fleet at one daemon: those of customers, those that targets name,
 * and those of the trials of suspect requests.
 *
 * A request consumes units that the limit's grantor has taken from the limit's single bucket.
 * The daemon requests them when a request needs them. If it sees many requests of a limit, it
 * prefetches units, so that most requests get theirs at once. UnitBudget explains why the limit
 * holds under message loss, crashes and partitions.
 *
 * A daemon that gets no answer from a grantor uses its share of a small credit and asks the next
 * daemon in the ranking. An answer takes a few milliseconds and a first event is due in some
 * hundreds, so callers don't notice the delay.
 */
class FleetRateLimiter
{
public:
    /** A live grantor answers within this time, even while it is busy. */
    static constexpr std::chrono::milliseconds AnswerTime {80};
    /** Pause before a daemon that isn't the grantor yet is asked again. */
    static constexpr std::chrono::milliseconds PendingPause {50};
    /**
     * Longest time for which a request waits for units; its caller may do better elsewhere. By then
     * the successor of a dead grantor has usually taken over.
     */
    static constexpr std::chrono::milliseconds LongestWait {400};
    /** Time for which a daemon is skipped after three consecutive unanswered messages. */
    static constexpr std::chrono::milliseconds SilentPeerPause {500};
    /** Time span for whose requests units are prefetched, as a fraction of a grant's life. */
    static constexpr double PrefetchFraction = 0.5;

    FleetRateLimiter(LimitPeer self, LimitMessenger &messenger, LimitListener &listener,
                     GrantorListener &grantorListener, RandomSource &random);

    /** Replaces the budgets of all limits that this daemon may have to grant units of. */
    void setBudgets(const UnitBudgets &budgets, Instant now);
    /** Sets or removes the budget of one limit. */
    void setBudget(std::uint64_t limit, const std::optional<UnitBudget> &budget, Instant now);
    void setFleet(const FleetMembership &fleet, Instant now);
    /**
     * Sets the fraction of the limits that this daemon may grant, from
     * limitFractionOf().
     */
    void setLimitFraction(double fraction, Instant now)
    {
        m_grantor.setLimitFraction(fraction, now);
    }

    /**
     * Takes the request's units. Returns a decision if units are available here or this daemon is
     * the grantor, and nothing if another daemon must be asked. Units stay taken if the request
     * is refused later, because earlier requests have precedence over later ones.
     */
    std::optional<LimitDecision> take(ExchangeId exchange, const LimitedUnits &units, Instant now);
    /**
     * Returns granted units that weren't used. They are lost if the grantor has changed, or isn't
     * reached.
     */
    void giveBack(std::uint64_t limit, double units, Instant now);
    /** Stops waiting for the request's units; does nothing if it isn't waiting. */
    void cancel(ExchangeId exchange);
    /** Handles requests that have waited too long, and this daemon's own grants. */
    void review(Instant now);
    /** Next time at which review() has something to do; empty if nothing is pending. */
    std::optional<Instant> nextReview() const;

    void take(const UnitsRequest &request, Instant now);
    void take(const UnitsReply &reply, Instant now);
    void take(const GrantorClaim &claim, Instant now) { m_grantor.take(claim, now); }
    void take(const GrantorHandover &handover, Instant now) { m_grantor.take(handover, now); }
    void take(const GrantorDenial &denial, Instant now) { m_grantor.take(denial, now); }
    void take(const UnitsReturn &returned, Instant now) { m_grantor.take(returned, now); }

    /**
     * Whether this daemon may grant units, so that setLimitFraction() must be kept up to date.
     */
    bool isCandidate() const { return m_grantor.isCandidate(); }
    const GrantorRanking &ranking() const { return m_grantor.ranking(); }

private:
    struct WaitingRequest
    {
        ExchangeId exchange;
        std::uint64_t limit = 0;
        UnitBudget budget;
        UnitDemand demand;
        Duration longestWait {};
        Instant waitingSince {};
        /** Number of the open message; zero if none is open. */
        std::uint64_t requestId = 0;
        LimitPeer queriedPeer;
        Instant querySent {};
        /** Time at which the request is handled without an answer. */
        Instant nextAction {};
        unsigned queries = 0;
        /** Members that answered that they aren't the grantor. */
        std::set<std::uint64_t> notGrantors;
        /** The grantor that the last of them named. */
        std::optional<LimitPeer> suggestedGrantor;
    };

    struct PeerState
    {
        unsigned timeouts = 0;
        Instant silentUntil {};
    };

    struct Account
    {
        LocalUnits units;
        /** Member that last granted or refused units; none at first. */
        LimitPeer grantor;
        /** When units were last prefetched, without a request that waits for them. */
        Instant prefetchSent {};
        Duration grantLifetime {};
    };

    /** A prefetch of units that isn't answered yet. */
    struct Prefetch
    {
        std::uint64_t limit = 0;
        Instant sent {};
    };

    /** Returns the member to ask; empty if none is left. */
    std::optional<LimitPeer> chooseGrantor(const WaitingRequest &waiting, Instant now) const;
    bool isSilent(std::uint64_t member, Instant now) const;
    void query(WaitingRequest &waiting, Instant now);
    /**
     * Called after a member answered that it isn't the grantor; a daemon that has just started
     * gives up soon.
     */
    void queryNext(WaitingRequest &waiting, Instant now);
    void prefetch(std::uint64_t limit, Account &account, const UnitBudget &budget, Instant now);
    UnitsRequest makeUnitsRequest(std::uint64_t requestId, std::uint64_t limit,
                                  const UnitDemand &demand, double prefetched) const;
    double prefetchUnits(Account &account, const UnitBudget &budget, Instant now) const;
    void recordTimeout(std::uint64_t member, Instant now);
    /** Decides as the limit's grantor. */
    LimitDecision decideLocally(WaitingRequest &waiting, Instant now);
    LimitDecision grantorDecision(const WaitingRequest &waiting, const UnitsReply &reply,
                                  bool isAdmitted, Instant now) const;
    /** Returns true if the answer belongs to a prefetch. */
    bool takePrefetch(const UnitsReply &reply, Instant now);
    /** Decides on a request that got no answer; empty if it keeps waiting. */
    std::optional<LimitDecision> decideWithoutAnswer(WaitingRequest &waiting, Instant now);
    LimitDecision makeDecision(const WaitingRequest &waiting, LimitSource source, bool isAdmitted,
                               Instant now) const;
    void reviewWaiting(Instant now);

    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    LimitListener &m_listener;
    RandomSource &m_random;
    GrantorRole m_grantor;
    std::map<std::uint64_t, Account> m_accounts;
    std::vector<WaitingRequest> m_waiting;
    /** Keyed by the number of the message. */
    std::map<std::uint64_t, Prefetch> m_prefetches;
    std::map<std::uint64_t, PeerState> m_peers;
    std::size_t m_knownMembers = 1;
    bool m_isFleetKnown = true;
    std::uint64_t m_lastRequestId;
};

} // namespace Apricothook
