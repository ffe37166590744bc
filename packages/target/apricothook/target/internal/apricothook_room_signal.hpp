#pragma once

#include <apricothook/target/internal/apricothook_loop_waker.hpp>

#include <atomic>
#include <memory>
#include <utility>

namespace Apricothook {

/** Set by the caller's thread when its answer has room again or was abandoned. */
class RoomSignal
{
public:
    explicit RoomSignal(std::shared_ptr<LoopWaker> waker) : m_waker(std::move(waker)) { }
    void set()
    {
        m_isSet = true;
        m_waker->wake();
    }
    bool take() { return m_isSet.exchange(false); }

private:
    std::atomic<bool> m_isSet = false;
    std::shared_ptr<LoopWaker> m_waker;
};

} // namespace Apricothook
