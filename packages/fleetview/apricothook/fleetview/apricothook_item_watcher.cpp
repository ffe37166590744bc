#include <apricothook/fleetview/apricothook_item_watcher.hpp>

#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

std::chrono::milliseconds ItemWatcher::watchTime(Duration inForce)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        inForce - BatchDelay - AnswerTime - FailoverTime);
    return std::clamp(left, ShortestWatch, LongestWatch);
}

ItemWatcher::ItemWatcher(const Endpoint &source, const ItemProtocol &protocol,
                         std::chrono::milliseconds watchTime, Updated updated,
                         StateChanged stateChanged)
    : m_protocol(protocol)
    , m_watchTime(watchTime)
    , m_updated(std::move(updated))
    , m_stateChanged(std::move(stateChanged))
    , m_client(std::make_unique<BlockingHttpClient>(source, ConnectTime, m_stopping))
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
    m_dutyChanged.notify_one();
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
    m_dutyChanged.notify_one();
}

void ItemWatcher::waitForDuty()
{
    std::unique_lock lock(m_mutex);
    m_dutyChanged.wait(lock, [this] { return !m_isPaused || m_stopping; });
    const std::optional<Revision> known = std::exchange(m_resumedFrom, std::nullopt);
    if (!known)
        return;
    // What the source said before the pause tells nothing of it now.
    m_state.reset();
    if (*known > 0)
        m_revision = std::max(m_revision.value_or(0), *known);
}

void ItemWatcher::run()
{
    while (!m_stopping) {
        if (!(m_revision ? watchOnce() : readAll()))
            pauseAfterFailure();
        waitForDuty();
    }
}

void ItemWatcher::pauseAfterFailure()
{
    std::this_thread::sleep_for(RetryPause);
}

void ItemWatcher::tell(SourceState state)
{
    if (m_state == state)
        return;
    m_state = state;
    m_stateChanged(state);
}

bool ItemWatcher::readAll()
{
    ItemUpdate whole;
    whole.isSnapshot = true;
    std::optional<Revision> revision;
    std::string after;
    while (true) {
        const std::optional<SourceAnswer> answer
            = m_client->get(m_protocol.pagePath(after), AnswerTime);
        const Result<ItemPage, ItemProtocolError> page = answer
            ? m_protocol.page(*answer)
            : Result<ItemPage, ItemProtocolError>(ItemProtocolError::Malformed);
        if (!page) {
            tell(answer ? SourceState::Refusing : SourceState::Unreachable);
            return false;
        }
        const ItemUpdate &update = page.value().update;
        // Pages are read one after the other: only what the first one shows is surely all there.
        revision = revision.value_or(update.revision);
        whole.changes.insert(whole.changes.end(), update.changes.begin(), update.changes.end());
        if (!page.value().hasMore || update.changes.empty())
            break;
        after = update.changes.back().key;
    }
    whole.revision = *revision;
    m_revision = revision;
    tell(SourceState::Reachable);
    m_updated(std::move(whole));
    return true;
}

bool ItemWatcher::watchOnce()
{
    // After a failure a short wait shows soon whether the source is back.
    const auto wait
        = m_state == SourceState::Reachable ? m_watchTime : std::chrono::milliseconds(100);
    const std::optional<SourceAnswer> answer
        = m_client->get(m_protocol.watchPath(*m_revision, wait), wait + AnswerTime);
    if (!answer) {
        tell(SourceState::Unreachable);
        return false;
    }
    Result<ItemUpdate, ItemProtocolError> update = m_protocol.watched(*answer);
    if (!update) {
        if (update.error() == ItemProtocolError::HistoryCompacted) {
            m_revision.reset();
            return true;
        }
        tell(SourceState::Refusing);
        return false;
    }
    tell(SourceState::Reachable);
    m_revision = std::max(*m_revision, update.value().revision);
    if (update.value().changes.empty())
        return true;
    m_updated(std::move(update).value());
    std::this_thread::sleep_for(BatchDelay);
    return true;
}

} // namespace Apricothook
