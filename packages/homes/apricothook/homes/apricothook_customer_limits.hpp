#pragma once

#include <apricothook/homes/apricothook_customer_limiter.hpp>
#include <apricothook/homes/internal/apricothook_token_bucket.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_result.hpp>

namespace Apricothook {

/** The request is within its customer's limit, and a token was taken for it. */
struct Admitted
{
    auto operator<=>(const Admitted &) const = default;
};

/** The customer's limit is reached at this entry. */
struct Limited
{
    /** When a token will be there. */
    Duration retryAfter {};
    auto operator<=>(const Limited &) const = default;
};

/**
 * Holds each customer to its limit over the whole fleet; see docs/LIMITS.md. This entry spends from
 * its share of the limit, which the customer's limiter gives by demand; without a limiter it spends
 * an equal part. Every daemon is the limiter of some customers as well.
 */
class CustomerLimits
{
public:
    explicit CustomerLimits(const MemberView &members, LimitTimes times = {});

    void setLimits(CustomerLimitTable limits);
    Result<Admitted, Limited> admit(const CustomerId &customer, Instant now);
    /** Reports demand where it is due; to be called every 100 ms or so. */
    void tick(Instant now, Outbox &out);
    /** As the limiter. */
    void handle(const MemberId &from, const LimitDemand &demand, Instant now, Outbox &out);
    /** As an entry. */
    void handle(const MemberId &from, const LimitShare &share, Instant now);
    /** The member that divides this customer's limit, as this daemon sees the members. */
    MemberId limiterOf(const CustomerId &customer) const;
    std::size_t activeCustomers() const { return m_active.size(); }

private:
    struct Active
    {
        TokenBucket bucket;
        /** Until the first share: an equal part of the limit for every live member. */
        double requestsPerSecond = 0;
        Instant shareUntil {};
        Duration period {};
        std::uint32_t arrived = 0;
        Instant reportedAt {};
        Instant lastSeen {};
        bool wasReported = false;
    };

    Active &activeOf(const CustomerId &customer, const CustomerLimit &limit, Instant now);
    double equalPart(const CustomerLimit &limit) const;
    /** The part of the burst that goes with a share. */
    static double burstFor(const CustomerLimit &limit, double share);
    void lapse(Active &active, const CustomerLimit &limit, Instant now) const;

    const MemberView &m_members;
    LimitTimes m_times;
    CustomerLimitTable m_limits;
    std::unordered_map<CustomerId, Active> m_active;
    CustomerLimiter m_limiter;
    Instant m_expiredAt {};
};

} // namespace Apricothook
