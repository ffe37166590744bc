#pragma once

#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace Apricothook {

/** Stands in for the core: keeps events until the test takes them, or answers at once. */
class FakeInbox : public CoreInbox
{
public:
    bool tryPost(CoreEvent event) override
    {
        if (isFull)
            return false;
        post(std::move(event));
        return true;
    }

    void post(CoreEvent event) override
    {
        if (answerer && answerer(event))
            return;
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_arrived.notify_all();
    }

    /** The next event, which must be a T; nothing when none came within `patience`. */
    template <typename T>
    std::optional<T> take(std::chrono::milliseconds patience = std::chrono::seconds(5))
    {
        std::unique_lock lock(m_mutex);
        if (!m_arrived.wait_for(lock, patience, [this] { return !m_events.empty(); }))
            return std::nullopt;
        if (!std::holds_alternative<T>(m_events.front()))
            return std::nullopt;
        T event = std::get<T>(std::move(m_events.front()));
        m_events.pop_front();
        return event;
    }

    std::size_t waiting()
    {
        const std::lock_guard lock(m_mutex);
        return m_events.size();
    }

    std::atomic<bool> isFull = false;
    /** Set before the server starts; true when it took the event. */
    std::function<bool(const CoreEvent &)> answerer;

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<CoreEvent> m_events;
};

} // namespace Apricothook
