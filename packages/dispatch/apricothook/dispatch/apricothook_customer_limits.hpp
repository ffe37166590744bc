#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <algorithm>
#include <map>

namespace Apricothook {

/** What one member has admitted of a customer since its process started, in the limit's unit. */
struct CustomerUse
{
    std::uint64_t customer = 0; ///< customerNumber() of the name.
    std::uint64_t admitted = 0;

    auto operator<=>(const CustomerUse &) const = default;
};

/** A short name of a customer for messages between daemons. */
std::uint64_t customerNumber(const CustomerId &customer);

/**
 * The limits of customers over the whole fleet, as one daemon enforces them.
 *
 * Each daemon keeps the bucket of the whole fleet: what it admits itself is taken at once, what
 * others admit is taken when their beacons tell it. A member that is known but silent may be
 * admitting on the other side of a partition, so its equal part of the rate is set aside; the sum
 * then stays within the limit on both sides.
 *
 * The bound is on windows of some seconds and leaves an overshoot and a slack. While targets have room
 * to spare, a second, larger bucket holds most of that; when they haven't, each customer keeps to its
 * rate and burst, as more for one would be less for all others.
 */
class CustomerLimits
{
public:
    /** Part of the room above the rate that is used; the rest is for what beacons tell too late. */
    static constexpr double UsedRoom = 0.75;
    /** Part of the overshoot that the refill uses; the bucket's size gets the rest. */
    static constexpr double UsedOvershoot = 0.5;
    /**
     * What a bucket holds at a process's start, in seconds of the rate: it doesn't know what was
     * admitted before, and all daemons may have started at once.
     */
    static constexpr double StartSeconds = 0.5;

    explicit CustomerLimits(const FleetBounds &bounds) : m_bounds(bounds) { }

    /** Buckets fill from here on, not only from a customer's first request. */
    void prepare(const std::vector<CustomerRule> &customers, Instant now);
    /** Takes `units` if the customer's limit has them; `hasRoom`: targets have room to spare. */
    bool tryTake(const CustomerRule &customer, double units, bool hasRoom, Instant now);
    /** What was taken for a request that didn't run after all. */
    void giveBack(const CustomerRule &customer, double units);
    /** What another member admitted since it last told. */
    void addUseOfOthers(std::uint64_t customer, double units);
    /** `heard` members of `known`, both with this one. */
    void setMembers(std::size_t heard, std::size_t known);
    /** What this daemon admitted so far. */
    std::vector<CustomerUse> ownUse() const;

private:
    /** Never above its size, but below zero while others' use is more than was there. */
    struct Bucket
    {
        double level = 0;
        double perSecond = 0;
        double size = 0;

        void refill(double seconds, double part);
        /** What spare room gave isn't owed back for longer than a full bucket takes to fill. */
        void take(double units);
        /** A full bucket has enough for any request, or one above its size could never run. */
        bool has(double units) const { return level >= std::min(units, size); }
    };

    struct Account
    {
        /** Of the rate and the burst alone. */
        Bucket assured;
        /** Of the whole bound. */
        Bucket bound;
        Instant refilled {};
        std::uint64_t admitted = 0;
        /** Given back since it was counted in `admitted`, which never falls. */
        double givenBack = 0;
        bool isStarted = false;
    };

    Account &refilled(const CustomerRule &customer, Instant now);
    void resize(Account &account, const CustomerRule &customer) const;

    const FleetBounds m_bounds;
    std::map<std::uint64_t, Account> m_accounts;
    double m_heardPart = 1;
};

} // namespace Apricothook
