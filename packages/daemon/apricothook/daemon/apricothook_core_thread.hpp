#pragma once

#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <ace/Task.h>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>

namespace Apricothook {

class Core;

/**
 * The thread of the decision core and the ring that leads to it. Every other thread only puts
 * events in; a full ring refuses at once.
 */
class CoreThread : public CoreInbox, private ACE_Task_Base
{
public:
    static constexpr std::size_t RingCapacity = 8192;

    explicit CoreThread(const Clock &clock);
    ~CoreThread() override;

    bool tryPost(CoreEvent event) override;
    void post(CoreEvent event) override;

    /** `afterTurn` is called in the core's thread, after events were handled. */
    void start(Core &core, std::function<void()> afterTurn);
    /** Ends the thread, whatever is in the ring. */
    void stop();
    std::size_t waiting() { return m_ring.size(); }

private:
    int svc() override;
    void turn();
    bool takeOverflow(CoreEvent &event);
    void handle(CoreEvent event);

    const Clock &m_clock;
    BoundedQueue<CoreEvent> m_ring;
    std::mutex m_overflowMutex;
    std::deque<CoreEvent> m_overflow;
    Core *m_core = nullptr;
    std::function<void()> m_afterTurn;
    std::atomic<bool> m_isStopping {false};
};

} // namespace Apricothook
