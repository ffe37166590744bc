#include <apricothook/eventloop/apricothook_event_loop.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <stdexcept>
#include <system_error>

namespace Apricothook {

namespace {

int throwOnError(int result, const char *call)
{
    if (result < 0)
        throw std::system_error(errno, std::generic_category(), call);
    return result;
}

/** Identifies a watch in its events, by a number of its own and the descriptor's. */
std::uint64_t watchOf(int descriptor, std::uint32_t registration)
{
    constexpr unsigned DescriptorBits = 32;
    return static_cast<std::uint64_t>(registration) << DescriptorBits
        | static_cast<std::uint32_t>(descriptor);
}

int descriptorOf(std::uint64_t watch)
{
    return static_cast<int>(static_cast<std::uint32_t>(watch));
}

epoll_event interest(std::uint32_t bits, std::uint64_t watch)
{
    epoll_event event {};
    event.events = bits;
    event.data.u64 = watch;
    return event;
}

} // namespace

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
    , m_epoll(throwOnError(epoll_create1(EPOLL_CLOEXEC), "epoll_create1"))
    , m_wakeupEvent(throwOnError(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd"))
    , m_polled(clock.now())
    , m_polledBefore(m_polled)
    , m_reportedAll(m_polled)
    , m_handlingSince(m_polled)
{
    epoll_event event = interest(EPOLLIN, watchOf(m_wakeupEvent, 0));
    throwOnError(epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeupEvent, &event), "epoll_ctl");
}

EventLoop::~EventLoop()
{
    close(m_wakeupEvent);
    close(m_epoll);
}

void EventLoop::watch(int descriptor, DescriptorEvents &events)
{
    const Watch &watch = m_watches[descriptor] = {&events, ++m_lastRegistration};
    epoll_event event = interest(EPOLLIN, watchOf(descriptor, watch.registration));
    throwOnError(epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event), "epoll_ctl");
}

void EventLoop::setInterest(int descriptor, bool readable, bool writable)
{
    const std::uint32_t bits = (readable ? EPOLLIN : 0U) | (writable ? EPOLLOUT : 0U);
    epoll_event event = interest(bits, watchOf(descriptor, m_watches[descriptor].registration));
    throwOnError(epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event), "epoll_ctl");
}

void EventLoop::unwatch(int descriptor)
{
    m_watches.erase(descriptor);
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

TimerId EventLoop::after(Duration delay, std::function<void()> action)
{
    const TimerId timer = ++m_lastTimer;
    const Instant due = now() + std::max(delay, Duration::zero());
    m_timers.emplace(std::pair(due, timer), std::move(action));
    m_dueTimes.emplace(timer, due);
    return timer;
}

void EventLoop::cancel(TimerId &timer)
{
    const auto found = m_dueTimes.find(std::exchange(timer, 0));
    if (found == m_dueTimes.end())
        return;
    m_timers.erase({found->second, found->first});
    m_dueTimes.erase(found);
}

void EventLoop::defer(std::function<void()> action)
{
    m_deferred.push_back(std::move(action));
}

bool EventLoop::post(std::function<void()> action)
{
    if (!m_posted.tryPush(std::move(action)))
        return false;
    m_hasPosted = true;
    wake();
    return true;
}

void EventLoop::run()
{
    while (!m_stopping)
        runOnce(std::chrono::milliseconds(-1));
}

void EventLoop::runOnce(std::chrono::milliseconds longestWait)
{
    runDeferred();
    readLateEvents();
    runDueTimers();
    runDeferred();
    wait(static_cast<int>(longestWait.count()));
}

void EventLoop::setHoldUpListener(Duration shortest, std::function<void(Duration held)> listener)
{
    m_shortestHoldUp = shortest;
    m_holdUpListener = std::move(listener);
}

void EventLoop::reportHoldUp(Instant expected)
{
    const Duration held = now() - expected;
    if (m_holdUpListener && held >= m_shortestHoldUp)
        m_holdUpListener(held);
}

void EventLoop::stop()
{
    m_stopping = true;
    wake();
}

void EventLoop::wake()
{
    const std::uint64_t one = 1;
    // The write fails only when the eventfd counter is full, that is, with a wake-up pending.
    [[maybe_unused]] const ssize_t written = write(m_wakeupEvent, &one, sizeof one);
}

void EventLoop::runDueTimers()
{
    const std::pair last(now(), m_lastTimer);
    while (!m_timers.empty() && m_timers.begin()->first <= last) {
        auto node = m_timers.extract(m_timers.begin());
        m_dueTimes.erase(node.key().second);
        node.mapped()();
    }
}

bool EventLoop::hasOutdatedTimer() const
{
    if (m_timers.empty())
        return false;
    const Instant present = now();
    return m_timers.begin()->first.first <= present && present - m_polled > MaxPollAge;
}

void EventLoop::readLateEvents()
{
    if (!hasOutdatedTimer())
        return;
    // Bounded, as handlers may hold the loop up again each time.
    std::size_t polls = m_watches.size() / MaxEventsPerWait + 2;
    int reported = MaxEventsPerWait;
    while (polls-- > 0 && (reported == MaxEventsPerWait || hasOutdatedTimer())) {
        reported = poll(0);
        runDeferred();
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        const std::vector<std::function<void()>> actions = std::exchange(m_deferred, {});
        for (const std::function<void()> &action : actions)
            action();
    }
}

void EventLoop::runPosted()
{
    if (!m_hasPosted.exchange(false))
        return;
    while (const std::optional<std::function<void()>> action = m_posted.tryPop())
        (*action)();
}

int EventLoop::millisecondsToNextTimer() const
{
    if (!m_deferred.empty())
        return 0;
    if (m_timers.empty())
        return -1;
    // Rounded up: a wait that ends before the timer is due would only be repeated.
    const auto left
        = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first.first - now());
    return static_cast<int>(
        std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

void EventLoop::wait(int maxMilliseconds)
{
    int wait = millisecondsToNextTimer();
    if (maxMilliseconds >= 0)
        wait = wait < 0 ? maxMilliseconds : std::min(wait, maxMilliseconds);
    poll(wait);
}

int EventLoop::poll(int milliseconds)
{
    reportHoldUp(m_handlingSince);
    const Instant latest
        = milliseconds < 0 ? Instant::max() : now() + std::chrono::milliseconds(milliseconds);
    std::array<epoll_event, MaxEventsPerWait> events;
    const int count = epoll_wait(m_epoll, events.data(), MaxEventsPerWait, milliseconds);
    // The process may have been frozen since the descriptors were polled.
    const Instant polled = std::min(now(), latest);
    m_handlingSince = now();
    reportHoldUp(polled);
    // A signal interrupted the call, so nothing is known of the descriptors.
    if (count < 0)
        return 0;
    m_polled = polled;
    m_polledBefore = m_reportedAll;
    if (count < MaxEventsPerWait)
        m_reportedAll = polled;
    for (int i = 0; i < count; ++i) {
        const epoll_event event = events[static_cast<std::size_t>(i)];
        const std::uint64_t watch = event.data.u64;
        if (descriptorOf(watch) == m_wakeupEvent) {
            std::uint64_t ignored = 0;
            [[maybe_unused]] const ssize_t got = read(m_wakeupEvent, &ignored, sizeof ignored);
            runPosted();
            if (m_wakeAction)
                m_wakeAction();
            continue;
        }
        if (event.events & EPOLLOUT)
            report(watch, &DescriptorEvents::onWritable);
        if (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR))
            report(watch, &DescriptorEvents::onReadable);
    }
    return count;
}

void EventLoop::report(std::uint64_t watch, void (DescriptorEvents::*call)())
{
    // A handler of an earlier event may have closed the descriptor and opened another one, which
    // gets the same number.
    const auto found = m_watches.find(descriptorOf(watch));
    if (found != m_watches.end() && watchOf(found->first, found->second.registration) == watch)
        (found->second.events->*call)();
}

} // namespace Apricothook
