#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <ace/Condition_Thread_Mutex.h>
#include <ace/Message_Queue_T.h>
#include <ace/OS_NS_sys_time.h>
#include <ace/Thread_Mutex.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace Apricothook {

/**
 * A bounded queue of values between threads. Pushing to a full queue fails immediately: a blocking
 * push would let one slow consumer stall all others.
 */
template <typename T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        // ACE measures the queue in bytes, so the water marks are given in bytes.
        : m_queue(capacity * sizeof(T), capacity * sizeof(T))
    {
    }
    ~BoundedQueue()
    {
        while (tryPop()) { }
    }
    BoundedQueue(const BoundedQueue &) = delete;
    BoundedQueue &operator=(const BoundedQueue &) = delete;

    /** False if the queue is full or closed; `value` is discarded then. */
    bool tryPush(T value) { return tryPushOrKeep(value); }

    /** As tryPush(), but leaves `value` unchanged if this is false. */
    bool tryPushOrKeep(T &value)
    {
        auto owned = std::make_unique<T>(std::move(value));
        ACE_Time_Value immediately = ACE_OS::gettimeofday();
        if (m_queue.enqueue_tail(owned.get(), &immediately) < 0) {
            value = std::move(*owned);
            return false;
        }
        static_cast<void>(owned.release()); // Now owned by the queue.
        return true;
    }

    std::optional<T> tryPop() { return pop(Duration::zero()); }

    /** Waits up to `timeout` for a value; nullopt on timeout or if the queue is closed. */
    std::optional<T> pop(Duration timeout)
    {
        ACE_Time_Value until = ACE_OS::gettimeofday();
        until += ACE_Time_Value(timeout.count() / MicrosecondsPerSecond,
                                timeout.count() % MicrosecondsPerSecond);
        T *taken = nullptr;
        if (m_queue.dequeue_head(taken, &until) < 0)
            return std::nullopt;
        const std::unique_ptr<T> owned(taken);
        return std::move(*owned);
    }

    /** Closes the queue, discards its values and wakes all waiting threads. */
    void close() { m_queue.deactivate(); }
    std::size_t size() { return m_queue.message_count(); }

private:
    static constexpr long MicrosecondsPerSecond = 1'000'000;

    ACE_Message_Queue_Ex<T, ACE_MT_SYNCH> m_queue;
};

} // namespace Apricothook
