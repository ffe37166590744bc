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

/** Receives the readiness events of a descriptor. */
class DescriptorEvents
{
public:
    virtual ~DescriptorEvents() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

/** Identifies a timer; zero is no timer. */
using TimerId = std::uint64_t;

/**
 * A single-threaded event loop for descriptors, timers and functions posted by other threads.
 *
 * Uses epoll directly instead of ACE's reactor, which handles one event per wait and re-arms the
 * descriptor afterwards: four system calls for each forwarded event where two are enough.
 */
class EventLoop
{
public:
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** `events` must live until unwatch(). Data that is already queued is reported as readable. */
    void watch(int descriptor, DescriptorEvents &events);
    /** Selects the readiness events that are reported; both are level-triggered. */
    void setInterest(int descriptor, bool readable, bool writable);
    void unwatch(int descriptor);

    /** A timer that is set by another one runs after the next poll of the descriptors. */
    TimerId after(Duration delay, std::function<void()> action);
    /** Has no effect on a timer that already ran. Sets `timer` to zero. */
    void cancel(TimerId &timer);

    /** Runs `action` after the current event. May only be called on the loop's thread. */
    void defer(std::function<void()> action);
    /** Like defer(), but callable from any thread; false if the queue is full. */
    bool post(std::function<void()> action);

    void run();
    /**
     * One iteration: runs due timers, then waits up to `longestWait` for events. If the loop was
     * held up, events that are ready are reported first, as they may cancel timers.
     */
    void runOnce(std::chrono::milliseconds longestWait);
    /** Makes run() return; safe from any thread and from signal handlers. */
    void stop();
    /** Makes run() call the wake action soon; safe from any thread and from signal handlers. */
    void wake();
    void setWakeAction(std::function<void()> action) { m_wakeAction = std::move(action); }
    Instant now() const { return m_clock.now(); }
    /** Milliseconds since the Unix epoch by the clock of this VM. */
    std::uint64_t wallMilliseconds() const { return m_clock.wallMilliseconds(); }
    /**
     * Called when the loop ran later than it would have by so much or more: another event took
     * long, or the process didn't get a processor.
     */
    void setHoldUpListener(Duration shortest, std::function<void(Duration held)> listener);
    /**
     * The loop had no event left to report at this time. So what is reported now came later, though
     * the process may have got no processor meanwhile, and many events may have come before it.
     */
    Instant polledBefore() const { return m_polledBefore; }

private:
    /** Capacity of the post() queue; two threads post a few functions a second each. */
    static constexpr std::size_t PostQueueCapacity = 256;
    /** Most events taken from one epoll_wait(). */
    static constexpr int MaxEventsPerWait = 64;
    /** Time since the descriptors were polled after which no timer runs before the next poll. */
    static constexpr std::chrono::milliseconds MaxPollAge {10};

    struct Watch
    {
        DescriptorEvents *events = nullptr;
        /** Distinguishes the descriptor from a closed one that had the same number. */
        std::uint32_t registration = 0;
    };

    /** Calls the handler of a watch, as identified in an event, unless the watch has ended. */
    void report(std::uint64_t watch, void (DescriptorEvents::*call)());
    void runDueTimers();
    void runDeferred();
    void runPosted();
    void reportHoldUp(Instant expected);
    /** Whether a timer is due, but events that are older may not have been reported. */
    bool hasOutdatedTimer() const;
    void readLateEvents();
    void wait(int maxMilliseconds);
    /** Reports the events of one epoll_wait(); returns their number. */
    int poll(int milliseconds);
    int millisecondsToNextTimer() const;

    const Clock &m_clock;
    const int m_epoll;
    const int m_wakeupEvent;
    /** The descriptors were polled at this time or later. */
    Instant m_polled;
    Instant m_polledBefore;
    /** No event was left at this time. */
    Instant m_reportedAll;
    /** Events and timers have been handled since then. */
    Instant m_handlingSince;
    Duration m_shortestHoldUp = Duration::max();
    std::function<void(Duration held)> m_holdUpListener;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_hasPosted = false;
    TimerId m_lastTimer = 0;
    std::map<std::pair<Instant, TimerId>, std::function<void()>> m_timers;
    std::unordered_map<TimerId, Instant> m_dueTimes;
    /** By descriptor; events of a descriptor removed earlier in the iteration are ignored. */
    std::unordered_map<int, Watch> m_watches;
    std::uint32_t m_lastRegistration = 0;
    std::vector<std::function<void()>> m_deferred;
    std::function<void()> m_wakeAction;
    BoundedQueue<std::function<void()>> m_posted {PostQueueCapacity};
};

} // namespace Apricothook
