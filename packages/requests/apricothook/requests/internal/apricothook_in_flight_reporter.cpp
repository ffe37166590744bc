#include <apricothook/requests/internal/apricothook_in_flight_reporter.hpp>

#include <apricothook/requests/internal/apricothook_flow_context.hpp>

namespace Apricothook {

namespace {
// A third of the reservations' lease, so that two reports in a row may be lost.
constexpr Duration ReportPeriod = std::chrono::seconds(3);
} // namespace

void InFlightReporter::tick(const ExchangeTable &exchanges, Instant now, Outbox &out)
{
    if (now < m_due)
        return;
    m_due = now + ReportPeriod;
    for (auto &[shard, report] : collect(exchanges, Extent::Renewal, now)) {
        const MemberId steward = m_context.ports.router.stewardOf(shard);
        out.push_back({steward, std::move(report)});
    }
}

void InFlightReporter::membersChanged(const ExchangeTable &exchanges, Instant now, Outbox &out)
{
    Reports reports = collect(exchanges, Extent::Whole, now);
    std::map<ShardId, MemberId> stewards;
    for (const ShardId &shard : m_context.ports.router.shards()) {
        const MemberId steward = m_context.ports.router.stewardOf(shard);
        const auto known = m_stewards.find(shard);
        // An empty report counts too: the new steward waits until everybody has reported.
        if (known == m_stewards.end() || known->second != steward) {
            InFlightReport &report = reports[shard];
            report.entry = m_context.ports.members.self();
            report.shard = shard;
            out.push_back({steward, std::move(report)});
        }
        stewards.emplace(shard, steward);
    }
    m_stewards = std::move(stewards);
}

std::optional<Instant> InFlightReporter::nextDue() const
{
    return m_due;
}

InFlightReporter::Reports InFlightReporter::collect(const ExchangeTable &exchanges, Extent extent,
                                                    Instant now) const
{
    Reports reports;
    for (const auto &[id, exchange] : exchanges) {
        if (!exchange.reservation)
            continue;
        InFlightReport &report = reports[exchange.reservation->shard];
        report.entry = m_context.ports.members.self();
        report.shard = exchange.reservation->shard;
        InFlight running;
        running.attempt = m_context.attemptOf(exchange);
        running.target = exchange.reservation->target;
        running.tier = exchange.requestClass.tier;
        running.customer = exchange.customer;
        running.model = exchange.request.profile.model;
        // A steward that knows the request knows its prefixes, and they are most of the bytes.
        if (extent == Extent::Whole)
            running.prefixes = exchange.request.profile.prefixes;
        running.promptTokens = exchange.request.profile.promptTokens;
        running.outputTokens = exchange.outputTokens;
        running.age = now - exchange.arrived;
        report.running.push_back(std::move(running));
    }
    return reports;
}

} // namespace Apricothook
