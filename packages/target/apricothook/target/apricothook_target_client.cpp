#include <apricothook/target/apricothook_target_client.hpp>

#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/target/internal/apricothook_loop_waker.hpp>
#include <apricothook/target/internal/apricothook_transfer_loop.hpp>

#include <ace/Task.h>

#include <mutex>
#include <utility>

namespace Apricothook {

/** The thread and the ring into it. */
class TargetClient::Worker : private ACE_Task_Base
{
public:
    Worker(CoreInbox &inbox, const Clock &clock, TargetOptions options)
        : m_ring(options.ringCapacity)
        , m_waker(std::make_shared<LoopWaker>())
        , m_loop(inbox, clock, std::move(options), m_ring, m_waker)
    {
    }
    ~Worker() override { stop(); }

    bool start()
    {
        m_isStarted = activate() == 0;
        return m_isStarted;
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
        }
        m_waker->stop();
        if (std::exchange(m_isStarted, false))
            wait();
        m_loop.run(); // Ends what came into the ring of a client that was never started.
    }

    bool order(TargetOrder order)
    {
        {
            // Held over the put: an order that came into the ring after the thread's last look
            // would never end, and its caller would wait for good.
            const std::lock_guard lock(m_mutex);
            if (m_isStopped || !m_ring.tryPush(std::move(order)))
                return false;
        }
        m_waker->wake();
        return true;
    }

private:
    int svc() override
    {
        m_loop.run();
        return 0;
    }

    std::mutex m_mutex;
    bool m_isStopped = false;
    bool m_isStarted = false;
    BoundedQueue<TargetOrder> m_ring;
    std::shared_ptr<LoopWaker> m_waker;
    TransferLoop m_loop;
};

TargetClient::TargetClient(CoreInbox &inbox, const Clock &clock, TargetOptions options)
    : m_worker(std::make_unique<Worker>(inbox, clock, std::move(options)))
{
}

TargetClient::~TargetClient() = default;

bool TargetClient::start()
{
    return m_worker->start();
}

void TargetClient::stop()
{
    m_worker->stop();
}

bool TargetClient::order(TargetOrder order)
{
    return m_worker->order(std::move(order));
}

} // namespace Apricothook
