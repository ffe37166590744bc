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

/** How a daemon came to grant a customer's units, or ceased to. */
enum class GrantorChange {
    TakenOver,  ///< Another daemon handed over what it had left.
    TakenEmpty, ///< Nobody answered; the bucket starts empty.
    HandedOver, ///< Another daemon claimed it.
};

std::string_view nameOf(GrantorChange change);

/** Is told when this daemon becomes a customer's grantor or ceases to be it. */
class GrantorListener
{
public:
    virtual ~GrantorListener() = default;
    virtual void onGrantorChanged(std::uint64_t customer, GrantorChange change, double level) = 0;
};

/**
 * The customers whose units this daemon grants.
 *
 * A unit is made in one bucket, at one daemon at a time, and is taken from it before anybody may
 * use it. A new grantor starts empty unless the former one handed over what it had left, so what
 * both grant together is what one bucket gives. A message that is lost loses units and makes none.
 *
 * Whoever goes first by GrantorOrder claims the customer from those that come next and waits
 * ClaimTime for an answer. A daemon that is asked because those before it are
 * silent does the same. Of two that want a customer, the one that goes after the other yields, and
 * hands over what it has.
 */
class GrantorRole
{
public:
    /**
     * A new grantor waits so long for the former one to hand over, and callers wait with it. Three
     * claims fit in, so that a lost datagram doesn't empty the bucket.
     */
    static constexpr std::chrono::milliseconds ClaimTime {240};
    static constexpr std::chrono::milliseconds ClaimPause {80};
    /** Who handed over as it reached a part of the fleet only claims no sooner than this, or when
     * it reaches all. */
    static constexpr std::chrono::seconds RestTime {5};
    /**
     * Time after a start of all daemons in which nobody was a grantor yet. They take most of it to
     * know each other; the first bucket is filled for it, as all callers come back at once.
     */
    static constexpr std::chrono::milliseconds LongestVacancy {1500};
    /** Without a review for so long this daemon has stood still, and may have been replaced. */
    static constexpr std::chrono::milliseconds StandstillTime {500};

    GrantorRole(LimitPeer self, LimitMessenger &messenger, GrantorListener &listener,
                RandomSource &random);

    /** Customers without a limit, and those that are gone, have no grantor. */
    void setCustomers(const std::vector<CustomerRule> &customers, const FleetBounds &bounds,
                      Instant now);
    /** `startedTogether`: when this daemon started, if all others started with it. */
    void setMembers(std::vector<GrantorCandidate> members,
                    std::optional<Instant> startedTogether = std::nullopt);
    /** Part of the fleet that this daemon reaches, 0 to 1. */
    void setReachableFraction(double part, Instant now);
    /** `knowsFleet`: this daemon has heard of the others, so it may take a customer. */
    void review(bool knowsFleet, Instant now);
    /** When review() has a claim to repeat or to end; nothing while there is none. */
    std::optional<Instant> nextReview() const;

    bool isGrantor(std::uint64_t customer) const;
    /** This daemon may become a grantor: its reach is to be known. */
    bool isCandidate() const { return m_order.isCandidate(m_self); }
    UnitsReply answer(const UnitsRequest &ask, Instant now);
    void take(const GrantorClaim &claim, Instant now);
    void take(const GrantorHandover &handover, Instant now);
    /**
     * When all that were asked have denied right after a start of all daemons, the claim waits no
     * longer. Later a daemon that this one doesn't think of may be the grantor, and tell it.
     */
    void take(const GrantorDenial &denial, Instant now);
    const GrantorOrder &order() const { return m_order; }

private:
    enum class State { Elsewhere, Claiming, Here };

    struct Role
    {
        State state = State::Elsewhere;
        CustomerBudget budget;
        UnitBucket bucket;
        /** Own units that are kept while another grantor is looked for. */
        double kept = 0;
        /** When the present state began. */
        Instant since {};
        /** When a claim was last sent. */
        Instant claimed {};
        /** No claim before, unless the whole fleet is reached. */
        Instant restsUntil {};
        /** When a claim was last answered with one of this daemon. */
        Instant answered {};
        std::uint64_t claim = 0;
        /** Members that were asked and haven't denied. */
        std::set<std::uint64_t> asked;
        /** The last one sent; sent again when its claim comes again. */
        GrantorHandover sent;
    };

    bool reachesFleet() const { return m_part >= 1; }
    bool isFirst(std::uint64_t customer) const;
    bool mayClaim(std::uint64_t customer, const Role &role, Instant now) const;
    /** Claims of such daemons reach each other, so that all but one of them yield. */
    bool isAmongFirst(std::uint64_t customer) const;
    void review(std::uint64_t customer, Role &role, Instant now);
    /** All daemons have started a moment ago; nobody granted before. */
    bool isAllNew(Instant now) const;
    /** Since when nobody but a former grantor that lives unheard can have granted. */
    Instant vacantSince(const Role &role, Instant now) const;
    /** Another daemon may have taken all customers while this one stood still. */
    void noteStandstill(Instant now);
    void startClaim(std::uint64_t customer, Role &role, Instant now);
    void deny(const GrantorClaim &claim);
    void sendClaim(std::uint64_t customer, Role &role, Instant now);
    void enter(std::uint64_t customer, Role &role, double level, GrantorChange change, Instant now);
    void handOver(const GrantorClaim &claim, Role &role, Instant now);
    /** Lets the sender, which goes before this daemon, have the customer. */
    void yield(const GrantorClaim &claim, Role &role, Instant now);
    /** Wants the customer of the sender, which goes after this daemon and may be its grantor. */
    void claimFrom(const GrantorClaim &claim, Role &role, Instant now);
    bool isNew(std::uint64_t handover);

    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    GrantorListener &m_listener;
    RandomSource &m_random;
    GrantorOrder m_order;
    std::map<std::uint64_t, Role> m_roles;
    bool m_knowsFleet = false;
    std::optional<Instant> m_startedTogether;
    Instant m_reviewed {};
    double m_part = 1;
    /** Handovers that were counted. */
    std::deque<std::uint64_t> m_taken;
};

} // namespace Apricothook
