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

/** What decided whether a request had its customer's units. */
enum class LimitSource {
    Unlimited, ///< The customer has no limit.
    Stock,     ///< Units that were granted before.
    Grantor,   ///< The grantor's answer.
    Credit,    ///< This daemon's part of the credit; no grantor had answered.
    Nobody,    ///< No grantor answered, and the credit was used up.
};

std::string_view nameOf(LimitSource source);

/** Whether a request has its customer's units, and what decided that; all but parts in units. */
struct LimitDecision
{
    bool isAdmitted = false;
    LimitSource source = LimitSource::Unlimited;
    UnitDemand demand;
    /** Of the customer's bucket, as the grantor told; zero where it wasn't asked. */
    double level = 0;
    double bucket = 0;
    double perSecond = 0;
    /** memberHash() of the daemon that decided; zero where none did. */
    std::uint64_t grantor = 0;
    /** How long the request waited for this, and how often somebody was asked. */
    Duration waited {};
    unsigned queries = 0;
    /** When a refused caller may have what it asked for. */
    Duration retryAfter {};

    auto operator<=>(const LimitDecision &) const = default;
};

/** Is told of verdicts that take() couldn't give at once. */
class LimitListener
{
public:
    virtual ~LimitListener() = default;
    virtual void onLimitDecided(ExchangeId exchange, const LimitDecision &verdict) = 0;
};

/** The fleet as far as customers' limits depend on it. */
struct FleetMembership
{
    /** All live members, this one among them. */
    std::vector<GrantorCandidate> members;
    /** With those that may be serving out of sight. */
    std::size_t known = 1;
    /** This daemon has heard of the others, so that counting them tells something. */
    bool isComplete = true;
    /** When this daemon started, if all others started with it: nobody granted before. */
    std::optional<Instant> startedTogether;
};

/**
 * The limits of customers over the whole fleet, as one daemon enforces them.
 *
 * A request runs on units that the customer's grantor took from the customer's one bucket. The
 * daemon asks for them when the request comes; where it sees many requests of a customer it asks
 * ahead, so that most have their units at once. CustomerBudget tells why the bound holds whatever
 * is lost, dies or is cut off.
 *
 * A daemon whose question isn't answered uses its part of a small credit, and goes on to ask the
 * next in the order. A question is answered in a few milliseconds, and a first event is due in some
 * hundreds, so callers don't notice.
 */
class CustomerRateLimiter
{
public:
    /** A grantor that lives answers within this, also while it is busy. */
    static constexpr std::chrono::milliseconds AnswerTime {80};
    /** Before a daemon that isn't ready yet is asked again. */
    static constexpr std::chrono::milliseconds SoonPause {50};
    /**
     * Longer, a request isn't kept without units: its caller may fare better elsewhere. Until then
     * a dead grantor's successor has mostly taken over.
     */
    static constexpr std::chrono::milliseconds LongestAsk {400};
    /** After three unanswered questions in a row a daemon is passed over for so long. */
    static constexpr std::chrono::milliseconds SilenceTime {500};
    /** Time for whose requests units are asked ahead, in lives of a grant. */
    static constexpr double AheadPart = 0.5;

    CustomerRateLimiter(const FleetBounds &bounds, LimitPeer self, LimitMessenger &messenger,
                        LimitListener &listener, GrantorListener &grantorListener,
                        RandomSource &random);

    void setCustomers(const std::vector<CustomerRule> &customers, Instant now);
    void setFleet(const FleetMembership &fleet, Instant now);
    /** Part of the fleet that this daemon reaches, 0 to 1. */
    void setReachableFraction(double part, Instant now)
    {
        m_grantor.setReachableFraction(part, now);
    }

    /**
     * Takes the request's units if there are any at hand or the customer is over its limit; nothing
     * where somebody must be asked. They stay taken when the request is refused later: what came in
     * time goes before what comes after it.
     */
    std::optional<LimitDecision> take(ExchangeId exchange, const CustomerRule &customer,
                                      const UnitDemand &claim, Instant now);
    /** The request no longer waits for its units; nothing happens if it didn't. */
    void cancel(ExchangeId exchange);
    /** Deals with what has waited too long, and with this daemon's own grants. */
    void review(Instant now);
    /** When review() has something to do again; nothing while nobody waits. */
    std::optional<Instant> nextReview() const;

    void take(const UnitsRequest &ask, Instant now);
    void take(const UnitsReply &answer, Instant now);
    void take(const GrantorClaim &claim, Instant now) { m_grantor.take(claim, now); }
    void take(const GrantorHandover &handover, Instant now) { m_grantor.take(handover, now); }
    void take(const GrantorDenial &denial, Instant now) { m_grantor.take(denial, now); }

    /** This daemon may grant units; setReachableFraction() is to be told. */
    bool isCandidate() const { return m_grantor.isCandidate(); }

private:
    struct Waiting
    {
        ExchangeId exchange;
        std::uint64_t customer = 0;
        CustomerBudget budget;
        UnitDemand claim;
        Instant since {};
        /** The present question; zero while none is open. */
        std::uint64_t ask = 0;
        LimitPeer asked;
        Instant sent {};
        /** When something is to be done without an answer. */
        Instant due {};
        unsigned asks = 0;
        /** Members that said that they aren't the grantor. */
        std::set<std::uint64_t> notThere;
        /** Whom the last of them takes for it. */
        std::optional<LimitPeer> named;
    };

    struct Peer
    {
        unsigned misses = 0;
        Instant silentUntil {};
    };

    struct Account
    {
        UnitStock stock;
        /** Who granted or refused last; no member at first. */
        LimitPeer grantor;
        /** When units were last asked ahead, with no request that waits for them. */
        Instant aheadSent {};
        Duration grantLife {};
    };

    /** A question for units ahead that wasn't answered yet. */
    struct AheadAsk
    {
        std::uint64_t customer = 0;
        Instant sent {};
    };

    /** Who is to be asked; nothing while nobody is left. */
    std::optional<LimitPeer> chooseGrantor(const Waiting &waiting, Instant now) const;
    bool isSilent(std::uint64_t member, Instant now) const;
    void ask(Waiting &waiting, Instant now);
    /** After one that isn't the grantor; a daemon that has just started gives up soon. */
    void askNext(Waiting &waiting, Instant now);
    void askAhead(std::uint64_t customer, Account &account, const CustomerBudget &budget,
                  Instant now);
    UnitsRequest question(std::uint64_t ask, std::uint64_t customer, const UnitDemand &claim,
                          double ahead) const;
    double ahead(Account &account, const CustomerBudget &budget, Instant now) const;
    void noteMissed(std::uint64_t member, Instant now);
    /** As the grantor itself. */
    LimitDecision decideHere(Waiting &waiting, Instant now);
    LimitDecision grantorVerdict(const Waiting &waiting, const UnitsReply &answer, bool isAdmitted,
                                 Instant now) const;
    /** True when the answer was to a question for units ahead. */
    bool takeAhead(const UnitsReply &answer, Instant now);
    /** Decides for a request whose question wasn't answered; nothing where it waits on. */
    std::optional<LimitDecision> withoutAnswer(Waiting &waiting, Instant now);
    LimitDecision verdict(const Waiting &waiting, LimitSource source, bool isAdmitted,
                          Instant now) const;
    void reviewWaiting(Instant now);

    const FleetBounds m_bounds;
    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    LimitListener &m_listener;
    RandomSource &m_random;
    GrantorRole m_grantor;
    std::map<std::uint64_t, Account> m_accounts;
    std::vector<Waiting> m_waiting;
    /** By the number of the question. */
    std::map<std::uint64_t, AheadAsk> m_aheadAsks;
    std::map<std::uint64_t, Peer> m_peers;
    std::size_t m_known = 1;
    bool m_isComplete = true;
    std::uint64_t m_lastAsk;
};

} // namespace Apricothook
