#include <apricothook/requests/internal/apricothook_grant_step.hpp>

#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_resend_delay.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

Refusal refusalOf(KeyProblem problem)
{
    switch (problem) {
    case KeyProblem::ForgedTicket:
        return {RefusalReason::BadRequest, Outcome::NotRun, {}};
    case KeyProblem::HomeGone:
        // The life that granted may have granted this very key before it died.
        return {RefusalReason::HomeLostMemory, Outcome::Unknown, {}};
    case KeyProblem::NoHome:
        break;
    }
    return {RefusalReason::HomeUnreachable, Outcome::Unknown, {}};
}

HomeAnswer *answerOf(RequestLife &exchange, const MemberId &home)
{
    const auto found = std::ranges::find(exchange.homes, home, &HomeAnswer::home);
    return found == exchange.homes.end() ? nullptr : &*found;
}

/**
 * One of the two daemons hasn't the newest roster yet. Homes that only the other one knows are
 * asked too; the home that refused is asked again, and agrees within seconds.
 */
void addHomes(RequestLife &exchange, const std::vector<MemberId> &homes)
{
    for (const MemberId &home : homes) {
        if (answerOf(exchange, home) == nullptr)
            exchange.homes.push_back({home, false, false});
    }
    std::ranges::sort(exchange.homes, {}, &HomeAnswer::home);
}

std::vector<MemberId> othersThan(const MemberId &home, const RequestLife &exchange)
{
    std::vector<MemberId> others;
    for (const HomeAnswer &answer : exchange.homes) {
        if (answer.home != home)
            others.push_back(answer.home);
    }
    return others;
}

bool isGrantedByAll(const RequestLife &exchange)
{
    return std::ranges::all_of(exchange.homes, &HomeAnswer::isGranted);
}

} // namespace

GrantStep::Advance GrantStep::begin(RequestLife &exchange, Instant now, Outbox &out)
{
    exchange.step = ExchangeStep::Granting;
    exchange.sends = 0;
    exchange.homes.clear();
    const auto homes = m_context.ports.homes.homesOf(exchange.key, exchange.customer, now);
    if (!homes)
        return {Progress::Refused, refusalOf(homes.error())};
    for (const MemberId &home : homes.value())
        exchange.homes.push_back({home, false, false});
    ask(exchange, now, out);
    return {};
}

GrantStep::Advance GrantStep::replied(RequestLife &exchange, const MemberId &from,
                                      const GrantReply &reply, Instant now, Outbox &out)
{
    HomeAnswer *answer = answerOf(exchange, from);
    if (answer == nullptr || reply.attempt != m_context.attemptOf(exchange))
        return {};
    switch (reply.verdict) {
    case GrantVerdict::Granted:
        answer->isGranted = true;
        if (isGrantedByAll(exchange))
            return {Progress::Granted, {}};
        exchange.sends = 0;
        ask(exchange, now, out);
        return {};
    case GrantVerdict::Running:
    case GrantVerdict::Finished:
    case GrantVerdict::OutcomeUnknown:
        exchange.holder = reply.holder;
        withdraw(exchange, now, out);
        return {Progress::RanBefore, {}};
    case GrantVerdict::WrongHome:
        addHomes(exchange, reply.homes);
        return {};
    case GrantVerdict::Conflict:
        withdraw(exchange, now, out);
        return {Progress::Refused, Refusal {RefusalReason::KeyConflict, Outcome::NotRun, {}}};
    case GrantVerdict::LostMemory:
        withdraw(exchange, now, out);
        // An earlier attempt with this key may have been granted by the life before.
        return {Progress::Refused, Refusal {RefusalReason::HomeLostMemory, Outcome::Unknown, {}}};
    case GrantVerdict::Full:
        withdraw(exchange, now, out);
        return {Progress::Refused, Refusal {RefusalReason::HomeFull, Outcome::NotRun, {}}};
    }
    return {};
}

void GrantStep::due(RequestLife &exchange, Instant now, Outbox &out)
{
    ask(exchange, now, out);
}

void GrantStep::withdraw(RequestLife &exchange, Instant now, Outbox &out)
{
    if (!exchange.mayBeGranted)
        return;
    std::vector<MemberId> homes;
    for (const HomeAnswer &answer : exchange.homes)
        homes.push_back(answer.home);
    const OutcomeReport report {m_context.attemptOf(exchange), exchange.key, KeyEnd::NotRun};
    m_context.outcomes.report(report, homes, now, out);
    exchange.mayBeGranted = false;
}

void GrantStep::ask(RequestLife &exchange, Instant now, Outbox &out)
{
    GrantRequest request;
    request.attempt = m_context.attemptOf(exchange);
    request.key = exchange.key;
    request.customer = exchange.customer;
    request.fingerprint = exchange.request.profile.fingerprint;
    request.target = exchange.reservation->target;
    request.generation = exchange.configuration->generation;
    // An attempt of the same exchange follows only on one that was proved not to have run.
    request.closesPrevious = exchange.attempt > 1;
    // One home after the other, in an order that all entries share: two entries that ask for the
    // same key at once could otherwise hold one grant each, and both would fail.
    const auto next = std::ranges::find(exchange.homes, false, &HomeAnswer::isGranted);
    request.otherHomes = othersThan(next->home, exchange);
    out.push_back({next->home, request});
    exchange.mayBeGranted = true;
    ++exchange.sends;
    const Instant end = std::min(exchange.deadline, exchange.reservedUntil);
    m_context.due.set(exchange.request.exchange, std::min(now + resendDelay(exchange.sends), end));
}

} // namespace Apricothook
