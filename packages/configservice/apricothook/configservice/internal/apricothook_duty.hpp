#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Apricothook {

/**
 * A thread that calls a function again and again; the function says how long to wait before its
 * next call, and wake() ends the wait.
 */
class Duty
{
public:
    explicit Duty(std::function<Duration()> work) : m_work(std::move(work)) { }
    ~Duty() { stop(); }
    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }
    void wake()
    {
        const std::lock_guard lock(m_mutex);
        m_isWoken = true;
        m_condition.notify_one();
    }
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
            m_condition.notify_one();
        }
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        while (wait(m_work())) { }
    }
    /** False when the duty is to end. */
    bool wait(Duration span)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, span, [this] { return m_isWoken || m_isStopped; });
        m_isWoken = false;
        return !m_isStopped;
    }

    std::function<Duration()> m_work;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWoken = false;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace Apricothook
