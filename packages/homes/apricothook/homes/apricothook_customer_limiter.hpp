#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <map>
#include <unordered_map>

namespace Apricothook {

/** A customer's limit over the whole fleet; no limit when requestsPerSecond is 0. */
struct CustomerLimit
{
    double requestsPerSecond = 0;
    double burst = 0;
    auto operator<=>(const CustomerLimit &) const = default;
};

using CustomerLimitTable = std::unordered_map<CustomerId, CustomerLimit>;

CustomerLimitTable limitsOf(const FleetText &text);

/** How often entries report a customer's demand. */
struct LimitTimes
{
    Duration shortestPeriod = std::chrono::seconds(1);
    /** A limiter gets at most this many demands a second for one customer. */
    double demandsPerSecond = 20;
    /** A share lasts this many periods, so that a lost message or two does no harm. */
    int periodsPerLease = 3;
    auto operator<=>(const LimitTimes &) const = default;
};

/**
 * Divides the limits of those customers for which this daemon is the limiter among the entries
 * that report demand.
 */
class CustomerLimiter
{
public:
    explicit CustomerLimiter(LimitTimes times);

    /** `limit` is what this daemon's side of the fleet may spend together, per second. */
    void handle(const MemberId &from, const LimitDemand &demand, double limit, Instant now,
                Outbox &out);
    /** Drops customers without demand; costs O(customers). */
    void expire(Instant now);
    std::size_t customers() const { return m_entries.size(); }

private:
    struct EntryDemand
    {
        double requestsPerSecond = 0;
        Instant until {};
    };
    using Entries = std::map<MemberId, EntryDemand>;

    static void dropOld(Entries &entries, Instant now);
    Duration periodFor(std::size_t entries) const;

    LimitTimes m_times;
    std::unordered_map<CustomerId, Entries> m_entries;
};

} // namespace Apricothook
