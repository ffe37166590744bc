#include <apricothook/daemon/apricothook_core_thread.hpp>

#include <apricothook/core/apricothook_core.hpp>

#include <algorithm>

namespace Apricothook {

namespace {
// Events handled before the clock's duties get their turn, so that a burst can't starve the probes.
constexpr int EventsPerTurn = 256;
} // namespace

CoreThread::CoreThread(const Clock &clock) : m_clock(clock), m_ring(RingCapacity) { }

CoreThread::~CoreThread()
{
    stop();
}

bool CoreThread::tryPost(CoreEvent event)
{
    return m_ring.tryPush(std::move(event));
}

void CoreThread::post(CoreEvent event)
{
    if (m_ring.tryPushOrKeep(event))
        return;
    // A full ring means that the thread is awake; it looks here in every turn.
    const std::lock_guard lock(m_overflowMutex);
    m_overflow.push_back(std::move(event));
}

void CoreThread::start(Core &core, std::function<void()> afterTurn)
{
    m_core = &core;
    m_afterTurn = std::move(afterTurn);
    activate();
}

void CoreThread::stop()
{
    if (m_isStopping.exchange(true))
        return;
    m_ring.close();
    wait();
}

int CoreThread::svc()
{
    while (!m_isStopping && !m_core->isDone())
        turn();
    return 0;
}

void CoreThread::turn()
{
    const Instant now = m_clock.now();
    if (m_core->nextDue() <= now)
        m_core->tick(now);
    const Duration patience = std::max(Duration::zero(), m_core->nextDue() - now);
    std::optional<CoreEvent> event = m_ring.pop(patience);
    for (int handled = 0; event && handled < EventsPerTurn; ++handled) {
        handle(std::move(*event));
        event = m_ring.tryPop();
    }
    if (event)
        handle(std::move(*event));
    CoreEvent kept = StopRequested();
    while (takeOverflow(kept))
        handle(std::move(kept));
    m_afterTurn();
}

bool CoreThread::takeOverflow(CoreEvent &event)
{
    const std::lock_guard lock(m_overflowMutex);
    if (m_overflow.empty())
        return false;
    event = std::move(m_overflow.front());
    m_overflow.pop_front();
    return true;
}

void CoreThread::handle(CoreEvent event)
{
    m_core->handle(std::move(event), m_clock.now());
}

} // namespace Apricothook
