#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace Apricothook {

/** Waits for a condition set by another thread. The limit only ends a hanging test. */
inline bool waitUntil(const std::function<bool()> &condition)
{
    constexpr int MaximumPolls = 20'000;
    for (int poll = 0; poll < MaximumPolls; ++poll) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

} // namespace Apricothook
