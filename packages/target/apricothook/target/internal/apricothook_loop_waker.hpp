#pragma once

#include <atomic>
#include <mutex>

#include <curl/curl.h>

namespace Apricothook {

/**
 * Ends the loop's sleep from any thread. It is shared: a caller's thread may be inside a room
 * callback while the client goes away, and must not touch a freed handle.
 */
class LoopWaker
{
public:
    void attach(CURLM *multi)
    {
        const std::lock_guard lock(m_mutex);
        m_multi = multi;
    }
    void detach() { attach(nullptr); }

    void wake()
    {
        m_isDue = true;
        const std::lock_guard lock(m_mutex);
        if (m_multi != nullptr)
            curl_multi_wakeup(m_multi);
    }
    void stop()
    {
        m_isStopped = true;
        wake();
    }
    bool isStopped() const { return m_isStopped; }
    /** Whether somebody woke the loop since the last call. */
    bool takeDue() { return m_isDue.exchange(false); }

private:
    std::mutex m_mutex;
    CURLM *m_multi = nullptr;
    std::atomic<bool> m_isDue = false;
    std::atomic<bool> m_isStopped = false;
};

} // namespace Apricothook
