#include <apricothook/dispatch/apricothook_request_permits.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Apricothook {

RequestPermits::RequestPermits(LimitPeer self, LimitMessenger &messenger, RandomSource &random,
                               PermitListener &listener, SuspectAnnouncer &announcer)
    : m_listener(listener)
    , m_announcer(announcer)
    , m_permits(std::move(self), messenger, random, *this, announcer)
{
}

PermitNeeds RequestPermits::needs(const RequestTraits &request, const ServiceId &service,
                                  const ServiceLosses &losses, Instant now) const
{
    PermitNeeds needs;
    if (!losses.isUnsettled(service, m_announcer.remembersSince(), now))
        return needs;
    const Instant lastLoss = losses.lastLoss(service);
    if (m_permits.isNeeded(request.content, lastLoss))
        needs.content = request.content;
    std::ranges::copy_if(request.parts, std::back_inserter(needs.parts), [&](std::uint64_t part) {
        return !m_announcer.traits().sound().isSoundSince(part, lastLoss);
    });
    return needs;
}

std::optional<PermitDecision> RequestPermits::acquire(ExchangeId exchange, const PermitNeeds &needs,
                                                      Duration lifetime, Instant now)
{
    Group group;
    group.exchange = exchange;
    const auto begin = [&](const std::optional<PermitDecision> &decision, ExchangeId inquiry) {
        group.open.push_back(inquiry);
        if (decision)
            add(group, inquiry, *decision);
    };
    if (needs.content) {
        const ExchangeId inquiry(++m_lastInquiry);
        group.content = inquiry;
        begin(m_permits.acquire(inquiry, *needs.content, lifetime, now), inquiry);
    }
    for (const std::uint64_t part : needs.parts) {
        const ExchangeId inquiry(++m_lastInquiry);
        begin(m_permits.inquire(inquiry, part, now), inquiry);
    }
    if (isDecided(group))
        return conclude(group);
    m_groups.push_back(std::move(group));
    return std::nullopt;
}

void RequestPermits::add(Group &group, ExchangeId inquiry, const PermitDecision &decision)
{
    std::erase(group.open, inquiry);
    if (decision.outcome != PermitOutcome::Granted) {
        group.refused = decision;
    } else if (inquiry == group.content) {
        group.granted.permit = decision.permit;
    }
    group.granted.source = std::max(group.granted.source, decision.source);
    group.granted.waited = std::max(group.granted.waited, decision.waited);
    group.granted.queries += decision.queries;
}

PermitDecision RequestPermits::conclude(const Group &group)
{
    for (const ExchangeId inquiry : group.open)
        m_permits.cancel(inquiry);
    PermitDecision decision = group.granted;
    decision.outcome = group.refused ? group.refused->outcome : PermitOutcome::Granted;
    decision.retryAfter = group.refused ? group.refused->retryAfter : Duration::zero();
    return decision;
}

void RequestPermits::onPermitDecided(ExchangeId inquiry, const PermitDecision &decision)
{
    const auto found = std::ranges::find_if(m_groups, [inquiry](const Group &group) {
        return std::ranges::find(group.open, inquiry) != group.open.end();
    });
    if (found == m_groups.end())
        return;
    add(*found, inquiry, decision);
    if (!isDecided(*found))
        return;
    const Group group = std::move(*found);
    m_groups.erase(found);
    m_listener.onPermitDecided(group.exchange, conclude(group));
}

void RequestPermits::onPermitExpired(const ExpiredPermit &permit)
{
    m_listener.onPermitExpired(permit);
}

void RequestPermits::cancel(ExchangeId exchange, Instant now)
{
    const auto found = std::ranges::find(m_groups, exchange, &Group::exchange);
    if (found == m_groups.end())
        return;
    const Group group = std::move(*found);
    m_groups.erase(found);
    m_permits.report(conclude(group).permit, PermitUse::Unused, 0, now);
}

} // namespace Apricothook
