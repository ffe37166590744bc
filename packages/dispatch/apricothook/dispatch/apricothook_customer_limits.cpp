#include <apricothook/dispatch/apricothook_customer_limits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

std::uint64_t customerNumber(const CustomerId &customer)
{
    return hashOf(customer.text());
}

void CustomerLimits::refill(Bucket &bucket, const CustomerRule &customer, Instant now) const
{
    const double burst = customer.burst * m_heardPart;
    if (!bucket.isFilled) {
        bucket.isFilled = true;
        bucket.level += burst;
    } else {
        const double seconds
            = static_cast<double>((now - bucket.refilled).count()) / MicrosecondsPerSecond;
        bucket.level += seconds * bucket.rate * m_heardPart;
    }
    bucket.refilled = now;
    bucket.rate = customer.ratePerSecond;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, burst);
}

bool CustomerLimits::tryTake(const CustomerRule &customer, double units, Instant now)
{
    Bucket &bucket = m_buckets[customerNumber(customer.name)];
    refill(bucket, customer, now);
    // A full bucket admits a request of any size, or one above the burst could never run.
    const bool isLimited = customer.ratePerSecond > 0;
    if (isLimited && bucket.level < std::min(units, bucket.burst))
        return false;
    bucket.level -= units;
    bucket.admitted += static_cast<std::uint64_t>(units);
    return true;
}

void CustomerLimits::addUseOfOthers(std::uint64_t customer, double units)
{
    m_buckets[customer].level -= units;
}

void CustomerLimits::setMembers(std::size_t heard, std::size_t known)
{
    m_heardPart = static_cast<double>(std::max<std::size_t>(heard, 1))
        / static_cast<double>(std::max<std::size_t>({known, heard, 1}));
}

std::vector<CustomerUse> CustomerLimits::ownUse() const
{
    std::vector<CustomerUse> use;
    for (const auto &[customer, bucket] : m_buckets) {
        if (bucket.admitted > 0)
            use.push_back({customer, bucket.admitted});
    }
    return use;
}

} // namespace Apricothook
