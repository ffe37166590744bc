#include <apricothook/gateway/internal/apricothook_request_record.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

GatewayEvent eventOf(const RequestRecord &record)
{
    if (record.outcome == RequestOutcome::Answered)
        return GatewayEvent::RequestAnswered;
    if (record.outcome == RequestOutcome::CallerGone)
        return GatewayEvent::CallerGone;
    return record.mayHaveRun ? GatewayEvent::RequestFailed : GatewayEvent::RequestRefused;
}

RequestResult resultOf(const RequestRecord &record)
{
    if (record.outcome == RequestOutcome::Answered)
        return RequestResult::Answered;
    if (record.outcome == RequestOutcome::CallerGone)
        return RequestResult::CallerLeft;
    return record.mayHaveRun ? RequestResult::Unknown : RequestResult::NotRun;
}

void addRefusal(LogEvent &line, const RefusalDetails &refusal)
{
    line.with("slots", refusal.capacity.slots)
        .with("free", refusal.capacity.free)
        .with("evacuated", refusal.capacity.evacuated)
        .with("cold", refusal.capacity.cold)
        .with("limited", refusal.capacity.limited)
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

void addStream(LogEvent &line, const RequestRecord &record)
{
    if (!record.lastEvent && record.stream.isEmpty())
        return;
    line.with("stream", record.stream.text())
        .with("began_version", record.beganVersion.text())
        .with("last_event", record.lastEvent.value_or(0));
}

void addSuspicion(LogEvent &line, const RequestRecord &record)
{
    // The part is named as callers name it, as a log of one daemon must tell what was refused.
    const auto part = std::ranges::find(record.promptParts, record.suspect, partTrait);
    line.with("suspect", std::to_string(record.suspect))
        .with("kind", std::string(nameOf(traitKind(record.suspect))))
        .with("prompt_part", part == record.promptParts.end() ? std::string() : part->text())
        .with("verdict", std::string(nameOf(record.suspicion->verdict)))
        .with("crashes", record.suspicion->crashes)
        .with("trials", record.suspicion->trials)
        .with("age_ms", record.suspicion->age)
        .with("next_trial_ms", record.suspicion->retryAfter);
}

} // namespace

void recordRequest(const RequestRecord &record, LogWriter &log, Metrics &metrics)
{
    const RequestLabels labels {record.tier, record.route, record.customer};
    metrics.requestEnded(labels, resultOf(record), record.duration);
    if (record.timeToFirstByte)
        metrics.timeToFirstToken(labels, *record.timeToFirstByte);
    LogEvent line(eventOf(record));
    line.forRequest(record.id)
        .with("end", std::string(nameOf(record.outcome)))
        .with("status", record.status)
        .with("route", record.route.text())
        .with("customer", record.customer.text())
        .with("service", record.service.text())
        .with("tier", record.tier.rank())
        .with("sends", record.sends)
        .with("took_ms", record.duration)
        .with("generation", record.generation.value());
    if (record.remaining)
        line.with("left_ms", *record.remaining);
    addStream(line, record);
    const bool isFailed = line.number() == static_cast<int>(GatewayEvent::RequestFailed);
    if (isFailed)
        metrics.responseIncomplete(record.cause);
    if (isFailed || record.outcome == RequestOutcome::CallerGone)
        line.with("cause", std::string(record.cause));
    if (record.timeToFirstByte)
        line.with("first_ms", *record.timeToFirstByte);
    if (record.longestPause) {
        line.with("longest_pause_ms", *record.longestPause);
        if (record.gapObjective > Duration::zero() && *record.longestPause > record.gapObjective)
            metrics.longPause(record.service);
    }
    if (record.refusal)
        addRefusal(line, *record.refusal);
    if (record.limit)
        addLimit(line, *record.limit);
    if (record.suspicion) {
        metrics.suspectRefused(nameOf(traitKind(record.suspect)));
        addSuspicion(line, record);
    }
    if (record.shutdown)
        line.with("expected_ms", record.shutdown->expected)
            .with("process_ends_ms", record.shutdown->left);
    if (record.outcome == RequestOutcome::Answered)
        line.markRoutine();
    log.write(line);
}

} // namespace Apricothook
