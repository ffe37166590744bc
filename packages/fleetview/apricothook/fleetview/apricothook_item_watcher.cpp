#include <apricothook/fleetview/apricothook_item_watcher.hpp>

#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>
#include <apricothook/fleetview/apricothook_view_age.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

std::chrono::milliseconds ItemWatcher::watchTime(Duration inForce)
{
    const Duration remaining = std::min(inForce - BatchDelay - AnswerTime - FailoverTime,
                                        ViewAge::limit(inForce) - BatchDelay - SpreadTime);
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(remaining),
                      ShortestWatch, LongestWatch);
}

ItemWatcher::ItemWatcher(const Endpoint &source, const ItemProtocol &protocol, const Clock &clock,
                         std::chrono::milliseconds watchTime, Updated updated, Confirmed confirmed,
                         StateChanged stateChanged)
    : m_protocol(protocol)
    , m_clock(clock)
    , m_watchTime(watchTime)
    , m_updated(std::move(updated))
    , m_confirmed(std::move(confirmed))
    , m_stateChanged(std::move(stateChanged))
    , m_client(std::make_unique<BlockingHttpClient>(source, ConnectTimeout, m_stopping))
    , m_thread([this] { run(); })
{
}

ItemWatcher::~ItemWatcher()
{
    stop();
    m_thread.join();
}

void ItemWatcher::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
}

void ItemWatcher::pauseReading()
{
    const std::lock_guard lock(m_mutex);
    m_isPaused = true;
}

void ItemWatcher::resumeReading(Revision known)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isPaused = false;
        m_resumedFrom = known;
    }
    m_wakeUp.notify_one();
}

void ItemWatcher::waitWhilePaused()
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait(lock, [this] { return !m_isPaused || m_stopping; });
    const std::optional<Revision> known = std::exchange(m_resumedFrom, std::nullopt);
    if (!known)
        return;
    // The state from before the pause says nothing about the source's current state, and the
    // connection may have been dropped meanwhile without a reset.
    m_state.reset();
    m_client->closeConnection();
    if (*known > 0)
        m_revision = std::max(m_revision.value_or(0), *known);
}

void ItemWatcher::run()
{
    while (!m_stopping) {
        if (!(m_revision ? watchOnce() : readAll()))
            pauseAfterFailure();
        waitWhilePaused();
    }
}

void ItemWatcher::pauseAfterFailure()
{
    std::this_thread::sleep_for(RetryInterval);
}

void ItemWatcher::reportState(SourceState state, const TransferRecord &record)
{
    if (m_state == state)
        return;
    m_state = state;
    m_stateChanged(state, record);
}

void ItemWatcher::reportFailure(const Transfer &transfer, ItemProtocolError error)
{
    TransferRecord record = transfer.record;
    if (transfer.response)
        record.end
            = error == ItemProtocolError::Malformed ? TransferEnd::Malformed : TransferEnd::Refused;
    reportState(transfer.response ? SourceState::Refusing : SourceState::Unreachable, record);
}

bool ItemWatcher::readAll()
{
    ItemUpdate whole;
    whole.isSnapshot = true;
    const Instant requestedAt = m_clock.now();
    std::optional<Revision> revision;
    TransferRecord record;
    std::string after;
    while (true) {
        const Transfer transfer
            = m_client->get(m_protocol.pagePath(after), {AnswerTime, AnswerTime});
        record.bytes += transfer.record.bytes;
        record.took += transfer.record.took;
        const Result<ItemPage, ItemProtocolError> page = transfer.response
            ? m_protocol.page(*transfer.response)
            : Result<ItemPage, ItemProtocolError>(ItemProtocolError::Malformed);
        if (!page) {
            reportFailure(transfer, page.error());
            return false;
        }
        const ItemUpdate &update = page.value().update;
        // Items may change between pages, so the listing is complete only up to the revision of
        // the first page.
        revision = revision.value_or(update.revision);
        whole.changes.insert(whole.changes.end(), update.changes.begin(), update.changes.end());
        if (!page.value().hasMore || update.changes.empty())
            break;
        after = update.changes.back().key;
    }
    whole.revision = *revision;
    m_revision = revision;
    reportState(SourceState::Reachable, record);
    m_updated(std::move(whole));
    confirm(requestedAt);
    return true;
}

bool ItemWatcher::watchOnce()
{
    const std::chrono::milliseconds wait = nextWait();
    const Instant requestedAt = m_clock.now();
    const Transfer transfer
        = m_client->get(m_protocol.watchPath(*m_revision, wait), {wait + AnswerTime, AnswerTime});
    Result<ItemUpdate, ItemProtocolError> update = transfer.response
        ? m_protocol.watched(*transfer.response)
        : Result<ItemUpdate, ItemProtocolError>(ItemProtocolError::Malformed);
    if (!update && update.error() == ItemProtocolError::HistoryCompacted) {
        m_revision.reset();
        return true;
    }
    if (!update) {
        reportFailure(transfer, update.error());
        return false;
    }
    reportState(SourceState::Reachable, transfer.record);
    m_revision = std::max(*m_revision, update.value().revision);
    if (update.value().changes.empty()) {
        // A response without changes that was held open shows that there were none until then. One
        // that was cut short shows it only for the time of the request.
        confirm(m_clock.now() - requestedAt < wait ? requestedAt : requestedAt + wait);
        return true;
    }
    m_updated(std::move(update).value());
    confirm(requestedAt);
    if (confirmedAge() < m_watchTime)
        std::this_thread::sleep_for(std::min(BatchDelay, m_watchTime - confirmedAge()));
    return true;
}

std::chrono::milliseconds ItemWatcher::nextWait() const
{
    // After a failure, a short poll detects sooner whether the source is reachable again.
    if (m_state != SourceState::Reachable)
        return std::chrono::milliseconds(100);
    return std::clamp(m_watchTime - confirmedAge(), std::min(ShortestWatch, m_watchTime),
                      m_watchTime);
}

void ItemWatcher::confirm(Instant time)
{
    m_confirmedAt = time;
    m_confirmed(time);
}

std::chrono::milliseconds ItemWatcher::confirmedAge() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - m_confirmedAt);
}

} // namespace Apricothook
