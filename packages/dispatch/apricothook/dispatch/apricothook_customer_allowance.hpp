#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <map>

namespace Apricothook {

/** What one member has admitted of a customer since its process started, in the limit's unit. */
struct CustomerUse
{
    std::uint64_t customer = 0; ///< customerNumber() of the name.
    std::uint64_t admitted = 0;

    auto operator<=>(const CustomerUse &) const = default;
};

/** What cells other than the own one admit of a customer; units of its limit. */
struct UseElsewhere
{
    std::uint64_t customer = 0;
    /** What they have told since the last count. */
    double told = 0;
    /** What they are expected to admit for each unit that the own cell does. */
    double part = 0;
    /** What they are expected to have admitted since the last count. */
    double fresh = 0;
    /** What they may have admitted and not told yet; no more is taken for them. */
    double mostUntold = 0;

    auto operator<=>(const UseElsewhere &) const = default;
};

/** What a request asks of its customer's limit. */
struct LimitClaim
{
    double units = 0;
    /** Part of the bucket that it must leave to others, 0 to 1. */
    double partLeft = 0;

    auto operator<=>(const LimitClaim &) const = default;
};

/** How a customer stands at its limit, as one daemon believes; all but the parts in units. */
struct CustomerStanding
{
    LimitClaim claim;
    double level = 0; ///< What the bucket holds.
    double size = 0;
    double perSecond = 0;
    /** Of the last seconds, decaying over the limit's window. */
    double usedHere = 0;
    double usedByOthers = 0;
    /** Part of the members that are heard; only this part of the limit is used. */
    double heardPart = 1;

    auto operator<=>(const CustomerStanding &) const = default;
};

/** A short name of a customer for messages between daemons. */
std::uint64_t customerNumber(const CustomerId &customer);

/**
 * The limits of customers over the whole fleet, as one daemon enforces them.
 *
 * Each daemon keeps the bucket of the whole fleet: what it admits itself is taken at once, what
 * others admit is taken when their beacons tell it. A member that is known but silent may be
 * admitting on the other side of a partition, so its equal part of the rate is set aside, and of
 * what the bucket holds; the sum then stays within the limit on both sides. The part comes back
 * with the member, less what it admitted meanwhile.
 *
 * The bound is on windows of some seconds and leaves an overshoot and a slack. A bucket of the
 * plain burst would refuse what the bound allows, so this one holds most of that room.
 */
class CustomerAllowance
{
public:
    /** Part of the room above the rate that is used; the rest is for what beacons tell too late. */
    static constexpr double UsedRoom = 0.77;
    /** Part of the overshoot that the refill uses; the bucket's size gets the rest. */
    static constexpr double UsedOvershoot = 0.7;
    /**
     * What a bucket holds at a process's start, in seconds of the rate, and the part of the refill
     * that pays it back. A new process doesn't know what was admitted before, and all daemons may
     * have started at once: with half a second, paid back by a quarter, 89 daemons that were killed
     * in a surge gave a customer 1.03 of its bound in two plays of five, with this in none of
     * eight. It costs callers who are there at the start: a day on which a small fleet is killed
     * three times loses 0.028 of its worth against half a second for good.
     */
    static constexpr double StartSeconds = 0.15;
    static constexpr double RepaidPart = 0.5;
    /**
     * A bucket falls no lower, in seconds of the rate. What others use is an estimate; without the
     * bound one wrong estimate would shut a customer out for as long as it takes to refill.
     */
    static constexpr double LowestSeconds = 3;
    /** A member that falls silent isn't noticed for so long, in seconds. */
    static constexpr double DoubtSeconds = 0.5;

    explicit CustomerAllowance(const FleetBounds &bounds) : m_bounds(bounds) { }

    /** Buckets fill from here on, not only from a customer's first request. */
    void prepare(const std::vector<CustomerRule> &customers, Instant now);
    /**
     * Takes the units if the customer's limit has them. They stay taken when the request is refused
     * later: what came in time goes before what comes after it.
     */
    bool tryTake(const CustomerRule &customer, const LimitClaim &claim, Instant now);
    /** How long tryTake() would fail if nobody took anything meanwhile. */
    Duration timeUntil(const CustomerRule &customer, const LimitClaim &claim, Instant now);
    /** What decided whether a request of `units` was admitted, for the log. */
    CustomerStanding standing(const CustomerRule &customer, const LimitClaim &claim, Instant now);
    /** What another member of the own cell admitted since it last told. */
    void addUseOfOthers(std::uint64_t customer, double units);
    /**
     * What other cells admitted; all customers of which anything is told or expected.
     *
     * What they are expected to admit is taken with each unit of the own cell, and not once more
     * when they tell it. Taken only when told, a second late, a surge overdraws the bucket of a
     * fleet of eight cells by half. Later refusals pay that back, but not when all daemons are
     * killed meanwhile: the customer got 1.10 of its bound in eight simulated cells.
     */
    void countElsewhere(const std::vector<UseElsewhere> &uses);
    /** `heard` members of `known`, both with this one. */
    void setMembers(std::size_t heard, std::size_t known);
    /** What this daemon admitted so far. */
    std::vector<CustomerUse> ownUse() const;

private:
    struct Account
    {
        /** Below zero while others took what was taken here too. */
        double level = 0;
        double perSecond = 0;
        double size = 0;
        Instant refilled {};
        std::uint64_t admitted = 0;
        /** As in UseElsewhere. */
        double partElsewhere = 0;
        double mostUntold = 0;
        /** Of what the bucket held at the start, the rest to be paid back. */
        double lent = 0;
        /** Taken for other cells before they told it. */
        double untold = 0;
        /** Of the last seconds, for standing(). */
        double recentHere = 0;
        double recentOfOthers = 0;
        bool isStarted = false;
    };

    Account &refilled(const CustomerRule &customer, Instant now);
    /** Adds what came in `seconds`, less what is paid back. */
    void refill(Account &account, double seconds) const;
    /** Takes what the own cell admitted, and what the others are expected to admit with it. */
    static void take(Account &account, double units);
    static void lower(Account &account, double units);
    /** Sets what is told against what was taken before. */
    static void countElsewhere(Account &account, const UseElsewhere &use);
    double neededLevel(const Account &account, const LimitClaim &claim) const;
    void resize(Account &account, const CustomerRule &customer) const;

    const FleetBounds m_bounds;
    std::map<std::uint64_t, Account> m_accounts;
    double m_heardPart = 1;
};

} // namespace Apricothook
