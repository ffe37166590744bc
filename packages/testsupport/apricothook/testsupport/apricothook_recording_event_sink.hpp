#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

namespace Apricothook {

/** Records the numbers of the events of all threads in order of arrival. */
class RecordingEventSink : public EventSink
{
public:
    void record(const DecisionEvent &event) override
    {
        const std::lock_guard lock(m_mutex);
        m_numbers.push_back(event.number);
    }
    template <typename Event>
    std::size_t count(Event event) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::ranges::count(m_numbers, static_cast<int>(event)));
    }
    template <typename Event>
    bool has(Event event) const
    {
        return count(event) > 0;
    }
    /** Number of events before the first one of this number; the total if there is none. */
    template <typename Event>
    std::size_t placeOf(Event event) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::ranges::find(m_numbers, static_cast<int>(event));
        return static_cast<std::size_t>(found - m_numbers.begin());
    }

private:
    mutable std::mutex m_mutex;
    std::vector<int> m_numbers;
};

} // namespace Apricothook
