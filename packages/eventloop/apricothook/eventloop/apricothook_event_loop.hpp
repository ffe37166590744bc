#pragma once

#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_bounded_queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Apricothook {

/** Is told when a descriptor can be read or written. */
class DescriptorEvents
{
public:
    virtual ~DescriptorEvents() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

/** Names a timer; zero names none. */
using TimerId = std::uint64_t;

/**
 * One thread's loop over descriptors, timers and functions that other threads hand in.
 *
 * It waits in epoll itself instead of in ACE's reactor, which takes one event a wait and arms the
 * descriptor again after it: four system calls for each forwarded event where two do.
 */
class EventLoop
{
public:
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** `events` must live until unwatch(). Reports readable at once where data waits. */
    void watch(int descriptor, DescriptorEvents &events);
    /** Readable is reported while `readable`, writable while `writable`. */
    void setInterest(int descriptor, bool readable, bool writable);
    void unwatch(int descriptor);

    TimerId after(Duration delay, std::function<void()> action);
    /** Does nothing for a timer that has run; sets `timer` to none. */
    void cancel(TimerId &timer);

    /** Runs `action` on the loop's thread after the present event; only from the loop's thread. */
    void defer(std::function<void()> action);
    /** As defer(), from any thread; false when too many wait already. */
    bool post(std::function<void()> action);

    void run();
    /** One round: what is due, then the events that come within `longestWait`. */
    void runOnce(std::chrono::milliseconds longestWait);
    /** Ends run(); safe from any thread and from signal handlers. */
    void stop();
    /** Makes run() call the wake action soon; safe from any thread and from signal handlers. */
    void wake();
    void setWakeAction(std::function<void()> action) { m_wakeAction = std::move(action); }
    Instant now() const { return m_clock.now(); }

private:
    /** Functions of other threads that may wait; two threads hand in a few a second each. */
    static constexpr std::size_t PostedCapacity = 256;
    /** Events taken in one wait. */
    static constexpr int EventsPerWait = 64;

    void runDueTimers();
    void runDeferred();
    void runPosted();
    void wait(int longestMilliseconds);
    int millisecondsToNextTimer() const;

    const Clock &m_clock;
    const int m_poll;
    const int m_waker;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_hasPosted = false;
    TimerId m_lastTimer = 0;
    std::map<std::pair<Instant, TimerId>, std::function<void()>> m_timers;
    std::unordered_map<TimerId, Instant> m_timerTimes;
    /** By descriptor; an event of a descriptor that left in the same round finds nothing here. */
    std::unordered_map<int, DescriptorEvents *> m_watched;
    std::vector<std::function<void()>> m_deferred;
    std::function<void()> m_wakeAction;
    BoundedQueue<std::function<void()>> m_posted {PostedCapacity};
};

} // namespace Apricothook
