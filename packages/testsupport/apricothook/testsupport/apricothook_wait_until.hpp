#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace Apricothook {

/** Waits for another thread; the limit is for a test that hangs, no verdict depends on it. */
inline bool waitUntil(const std::function<bool()> &isTrue)
{
    constexpr int MostTurns = 20'000;
    for (int turn = 0; turn < MostTurns; ++turn) {
        if (isTrue())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

} // namespace Apricothook
