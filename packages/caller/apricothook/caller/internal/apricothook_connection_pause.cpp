#include <apricothook/caller/internal/apricothook_connection_pause.hpp>

#include <microhttpd.h>

namespace Apricothook {

bool ConnectionPause::pauseUnless(const std::function<bool()> &isReady)
{
    const std::lock_guard lock(m_mutex);
    if (m_isBroken || isReady())
        return false;
    m_isSuspended = true;
    MHD_suspend_connection(m_connection);
    return true;
}

void ConnectionPause::wake()
{
    const std::lock_guard lock(m_mutex);
    resumeLocked();
}

void ConnectionPause::breakOff()
{
    const std::lock_guard lock(m_mutex);
    m_isBroken = true;
    resumeLocked();
}

bool ConnectionPause::isBroken() const
{
    const std::lock_guard lock(m_mutex);
    return m_isBroken;
}

void ConnectionPause::resumeLocked()
{
    if (!m_isSuspended)
        return;
    m_isSuspended = false;
    MHD_resume_connection(m_connection);
}

} // namespace Apricothook
