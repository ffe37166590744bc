#pragma once

#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace Apricothook {

/** Records the events that adapters post to the core, and lets a test wait for them. */
class RecordingInbox : public CoreInbox
{
public:
    bool tryPost(CoreEvent event) override
    {
        post(std::move(event));
        return true;
    }
    void post(CoreEvent event) override
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_arrived.notify_all();
    }
    /** All events of type T received so far. */
    template <typename T>
    std::vector<T> all() const
    {
        const std::lock_guard lock(m_mutex);
        return select<T>();
    }
    /** Waits for the `count`-th event of type T; nullopt on timeout. */
    template <typename T>
    std::optional<T> wait(std::size_t count = 1) const
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, WaitTimeout, [&] { return select<T>().size() >= count; });
        const std::vector<T> found = select<T>();
        return found.size() >= count ? std::optional(found[count - 1]) : std::nullopt;
    }
    /** Variant indexes of all events received so far. */
    std::vector<std::size_t> kinds() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::size_t> kinds;
        for (const CoreEvent &event : m_events)
            kinds.push_back(event.index());
        return kinds;
    }

private:
    // Only ends a hanging test; no check depends on it.
    static constexpr auto WaitTimeout = std::chrono::seconds(20);

    template <typename T>
    std::vector<T> select() const
    {
        std::vector<T> found;
        for (const CoreEvent &event : m_events) {
            if (const T *typed = std::get_if<T>(&event))
                found.push_back(*typed);
        }
        return found;
    }

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_arrived;
    std::vector<CoreEvent> m_events;
};

} // namespace Apricothook
