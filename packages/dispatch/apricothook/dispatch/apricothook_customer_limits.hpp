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

/** A short name of a customer for messages between daemons. */
std::uint64_t customerNumber(const CustomerId &customer);

/**
 * The limits of customers over the whole fleet, as one daemon enforces them.
 *
 * Each daemon keeps the bucket of the whole fleet: what it admits itself is taken at once, what
 * others admit is taken when their beacons tell it. A member that is known but silent may be
 * admitting on the other side of a partition, so its equal part of the rate is set aside; the sum
 * then stays within the limit on both sides.
 */
class CustomerLimits
{
public:
    /** Takes `units` if the customer's limit has them. */
    bool tryTake(const CustomerRule &customer, double units, Instant now);
    /** What another member admitted since it last told. */
    void addUseOfOthers(std::uint64_t customer, double units);
    /** `heard` members of `known`, both with this one. */
    void setMembers(std::size_t heard, std::size_t known);
    /** What this daemon admitted so far. */
    std::vector<CustomerUse> ownUse() const;

private:
    struct Bucket
    {
        double level = 0;
        double rate = 0;
        double burst = 0;
        Instant refilled {};
        std::uint64_t admitted = 0;
        bool isFilled = false;
    };

    void refill(Bucket &bucket, const CustomerRule &customer, Instant now) const;

    std::map<std::uint64_t, Bucket> m_buckets;
    double m_heardPart = 1;
};

} // namespace Apricothook
