// What each kind of event brings about: the take() members of CoreTurn.

#include <apricothook/core/internal/apricothook_core_turn.hpp>

#include <apricothook/core/internal/apricothook_operator_documents.hpp>

namespace Apricothook {

namespace {

// A member that isn't in the view yet is answered at the address it wrote from.
constexpr std::size_t MaximumStrangers = 512;

} // namespace

void CoreTurn::take(CallerRequest &request, Instant now)
{
    m_parts.flow.handle(std::move(request), now, m_results.outbox);
}

void CoreTurn::take(const CallerGone &gone, Instant now)
{
    m_parts.flow.handle(gone, now, m_results.outbox);
}

void CoreTurn::take(const KeyLookup &lookup, Instant now)
{
    m_parts.flow.handle(lookup, now, m_results.outbox);
}

void CoreTurn::take(const EntriesLookup &lookup, Instant now)
{
    const LookupAnswer answer = m_parts.lookup.answer(lookupKeep());
    // Also while leaving: keys without a ticket are refused for a whole window by every home that
    // was replaced, which in a rolling restart is nearly all of them. A ticket that outlives this
    // process costs few: the keys made with it after the drain has ended.
    lookup.answer->begin({200, {{"Content-Type", "application/json"}}});
    lookup.answer->append(entriesDocument(answer, m_parts.issuer.issue(now)));
    lookup.answer->finish();
}

void CoreTurn::take(const DispatchStarted &started, Instant now)
{
    m_parts.flow.handle(started, now);
}

void CoreTurn::take(const DispatchEnded &ended, Instant now)
{
    m_parts.flow.handle(ended, now, m_results.outbox);
}

void CoreTurn::take(const EngineOrderEnded &ended, Instant now)
{
    m_parts.orders.ended(ended, now);
}

void CoreTurn::take(const LoadReport &report, Instant now)
{
    if (m_poller.isBack(report))
        m_parts.orders.targetMayHaveRestarted(report.target);
    m_parts.steward.loadReported(report, now);
}

void CoreTurn::take(const CacheEvents &events, Instant now)
{
    m_poller.learn(events);
    m_parts.steward.cacheEvents(events, now);
}

void CoreTurn::take(const PeerMessageReceived &arrived, Instant now)
{
    if (m_strangers.size() < MaximumStrangers || m_strangers.contains(arrived.from.member))
        m_strangers[arrived.from.member] = arrived.address;
    m_dispatcher.dispatch(arrived, now, m_results);
}

void CoreTurn::take(const ConfigurationReceived &arrived, Instant now)
{
    m_parts.keeper.arrived(arrived, now, m_results.configuration);
}

void CoreTurn::take(const ConfigurationRejected &rejected, Instant now)
{
    m_parts.keeper.rejected(rejected, now, m_results.configuration);
}

void CoreTurn::take(const VmListReceived &arrived, Instant)
{
    m_parts.keeper.vmsArrived(arrived.list, m_results.configuration);
}

void CoreTurn::take(const PlatformReachability &news, Instant now)
{
    m_parts.keeper.platformReachability(news, now, m_results.configuration);
}

void CoreTurn::take(const KeptAnswerFetched &arrived, Instant now)
{
    m_parts.flow.handle(arrived, now);
}

void CoreTurn::take(const OperatorQuery &asked, Instant now)
{
    asked.answer->set_value(asked.question == OperatorQuestion::Status
                                ? statusDocument(m_parts, now)
                                : explainDocument(m_parts.events, asked.key));
}

void CoreTurn::take(const KeptAnswerQuery &asked, Instant now)
{
    asked.answer->set_value(m_parts.answers.find(asked.key, now));
}

void CoreTurn::take(const StopRequested &, Instant now)
{
    leave(now);
}

Duration CoreTurn::lookupKeep() const
{
    const std::shared_ptr<const Configuration> &inForce = m_parts.keeper.inForce();
    return inForce ? inForce->text.policy.lookupKeep : Policy().lookupKeep;
}

} // namespace Apricothook
