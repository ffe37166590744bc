#include <apricothook/gateway/internal/apricothook_request_record.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

namespace Apricothook {

namespace {

GatewayEvent eventOf(const RequestRecord &record)
{
    if (record.end == RequestOutcome::Answered)
        return GatewayEvent::RequestAnswered;
    if (record.end == RequestOutcome::CallerGone)
        return GatewayEvent::CallerGone;
    return record.mayHaveRun ? GatewayEvent::RequestFailed : GatewayEvent::RequestRefused;
}

RequestResult resultOf(const RequestRecord &record)
{
    if (record.end == RequestOutcome::Answered)
        return RequestResult::Answered;
    if (record.end == RequestOutcome::CallerGone)
        return RequestResult::CallerLeft;
    return record.mayHaveRun ? RequestResult::Unknown : RequestResult::NotRun;
}

void addRefusal(LogEvent &line, const RefusalDetails &refusal)
{
    line.with("slots", refusal.capacity.slots)
        .with("free", refusal.capacity.free)
        .with("evacuated", refusal.capacity.evacuated)
        .with("cold", refusal.capacity.cold)
        .with("urgency", refusal.rank.route.rank())
        .with("ahead", refusal.ahead)
        .with("hold_ms", refusal.capacity.meanHoldTime)
        .with("expected_wait_ms", refusal.expectedWait)
        .with("retry_after_ms", refusal.retryAfter);
}

void addLimit(LogEvent &line, const LimitDecision &limit)
{
    line.with("limit_from", std::string(nameOf(limit.source)))
        .with("limit_asks", limit.queries)
        .with("limit_wait_ms", limit.waited)
        .with("units", limit.demand.units);
    if (limit.isAdmitted)
        return;
    line.with("part_left", limit.demand.reservedFraction)
        .with("level", limit.level)
        .with("bucket", limit.bucket)
        .with("units_per_s", limit.perSecond)
        .with("retry_after_ms", limit.retryAfter);
}

} // namespace

void recordRequest(const RequestRecord &record, LogWriter &log, Metrics &metrics)
{
    const RequestLabels labels {record.tier, record.route, record.customer};
    metrics.requestEnded(labels, resultOf(record), record.took);
    if (record.first)
        metrics.timeToFirstToken(labels, *record.first);
    LogEvent line(eventOf(record));
    line.forRequest(record.id)
        .with("end", std::string(nameOf(record.end)))
        .with("status", record.status)
        .with("route", record.route.text())
        .with("customer", record.customer.text())
        .with("service", record.service.text())
        .with("tier", record.tier.rank())
        .with("sends", record.sends)
        .with("took_ms", record.took)
        .with("left_ms", record.left)
        .with("generation", record.generation.value());
    if (record.first)
        line.with("first_ms", *record.first);
    if (record.refusal)
        addRefusal(line, *record.refusal);
    if (record.limit)
        addLimit(line, *record.limit);
    if (record.end == RequestOutcome::Answered)
        line.markRoutine();
    log.write(line);
}

} // namespace Apricothook
