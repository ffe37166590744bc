#pragma once

#include <apricothook/requests/apricothook_request_life.hpp>

#include <map>
#include <unordered_map>

namespace Apricothook {

struct FlowContext;
using ExchangeTable = std::unordered_map<ExchangeId, RequestLife>;

/**
 * Tells stewards what this entry has on their targets: renews the leases, and fills the ledger of
 * a steward that took a shard over. Without it a new steward would begin from zero and fill slots
 * that are in use.
 */
class InFlightReporter
{
public:
    explicit InFlightReporter(FlowContext &context) : m_context(context) { }
    void tick(const ExchangeTable &exchanges, Instant now, Outbox &out);
    /** Reports at once to stewards that are new to their shards. */
    void membersChanged(const ExchangeTable &exchanges, Instant now, Outbox &out);
    std::optional<Instant> nextDue() const;

private:
    using Reports = std::map<ShardId, InFlightReport>;
    /** What a report holds of each request: all that a ledger needs, or what renews a lease. */
    enum class Extent { Renewal, Whole };
    Reports collect(const ExchangeTable &exchanges, Extent extent, Instant now) const;

    FlowContext &m_context;
    Instant m_due {};
    std::map<ShardId, MemberId> m_stewards;
};

} // namespace Apricothook
