#include <apricothook/caller/internal/apricothook_connection_watch.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <array>

namespace Apricothook {

namespace {

constexpr int ScanMilliseconds = 250;
constexpr int EventsAtOnce = 64;
/** Names the wake descriptor; connections are numbered from 1. */
constexpr ConnectionNumber WakeNumber = 0;
constexpr Duration OverLimitTimeout = std::chrono::seconds(2);

bool watchDescriptor(int epoll, int descriptor, std::uint32_t events, ConnectionNumber number)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = number;
    return ::epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event) == 0;
}

} // namespace

ConnectionWatch::ConnectionWatch(const Clock &clock, TooSlow tooSlow)
    : m_clock(clock), m_tooSlow(std::move(tooSlow))
{
}

ConnectionWatch::~ConnectionWatch()
{
    stop();
}

Result<void, WatchError> ConnectionWatch::start()
{
    m_epoll = UniqueDescriptor(::epoll_create1(EPOLL_CLOEXEC));
    m_wake = UniqueDescriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!m_epoll.isOpen() || !m_wake.isOpen()
        || !watchDescriptor(m_epoll.value(), m_wake.value(), EPOLLIN, WakeNumber))
        return WatchError::NoDescriptors;
    m_thread = std::thread([this] { run(); });
    return Outcomes::success();
}

void ConnectionWatch::stop()
{
    if (!m_thread.joinable())
        return;
    ::eventfd_write(m_wake.value(), 1);
    m_thread.join();
}

ConnectionNumber ConnectionWatch::add(int descriptor, bool isOverLimit)
{
    const Duration timeout = isOverLimit ? OverLimitTimeout : m_headerTimeout.load();
    const std::lock_guard lock(m_mutex);
    const ConnectionNumber number = ++m_last;
    Watched &watched = m_watched[number];
    watched.descriptor = descriptor;
    watched.headersBy = m_clock.now() + timeout;
    watched.isOverLimit = isOverLimit;
    // One shot: a hang-up is final, and level-triggered it would keep the thread spinning.
    watchDescriptor(m_epoll.value(), descriptor, EPOLLRDHUP | EPOLLONESHOT, number);
    return number;
}

bool ConnectionWatch::isOverLimit(ConnectionNumber connection) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watched.find(connection);
    return found != m_watched.end() && found->second.isOverLimit;
}

void ConnectionWatch::remove(ConnectionNumber connection)
{
    const std::lock_guard lock(m_mutex);
    m_watched.erase(connection);
}

bool ConnectionWatch::beginRequest(ConnectionNumber connection,
                                   std::shared_ptr<ConnectionPause> pause)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watched.find(connection);
    if (m_isClosed || found == m_watched.end() || found->second.isGone)
        return false;
    found->second.pause = std::move(pause);
    return true;
}

void ConnectionWatch::endRequest(ConnectionNumber connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watched.find(connection);
    if (found == m_watched.end())
        return;
    found->second.pause = nullptr;
    found->second.headersBy = m_clock.now() + m_headerTimeout.load();
}

void ConnectionWatch::breakOffAll()
{
    std::vector<std::shared_ptr<ConnectionPause>> pauses;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        for (const auto &[number, watched] : m_watched) {
            if (watched.pause)
                pauses.push_back(watched.pause);
        }
    }
    for (const auto &pause : pauses)
        pause->breakOff();
}

std::size_t ConnectionWatch::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_watched.size();
}

void ConnectionWatch::run()
{
    std::array<epoll_event, EventsAtOnce> events {};
    while (true) {
        const int count
            = ::epoll_wait(m_epoll.value(), events.data(), EventsAtOnce, ScanMilliseconds);
        for (int at = 0; at < count; ++at) {
            if (events[at].data.u64 == WakeNumber)
                return;
            callerGone(events[at].data.u64);
        }
        shutSlowConnections();
    }
}

void ConnectionWatch::callerGone(ConnectionNumber connection)
{
    std::shared_ptr<ConnectionPause> pause;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watched.find(connection);
        if (found == m_watched.end())
            return;
        found->second.isGone = true;
        pause = found->second.pause;
    }
    if (pause)
        pause->breakOff();
}

void ConnectionWatch::shutSlowConnections()
{
    const Instant now = m_clock.now();
    std::size_t shut = 0;
    {
        // Under the lock, as remove() comes before the descriptor is closed: without it another
        // connection that got the same descriptor could be shut down.
        const std::lock_guard lock(m_mutex);
        for (auto &[number, watched] : m_watched) {
            if (watched.pause || watched.isGone || now < watched.headersBy)
                continue;
            watched.isGone = true;
            ::shutdown(watched.descriptor, SHUT_RDWR);
            ++shut;
        }
    }
    for (; shut > 0; --shut)
        m_tooSlow();
}

} // namespace Apricothook
