#include <apricothook/peers/internal/apricothook_replay_window.hpp>

#include <algorithm>

namespace Apricothook {

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence + Size <= m_newest || sequence == 0)
        return false;
    if (sequence > m_newest + Size)
        m_seen.reset();
    else
        for (std::uint64_t i = m_newest + 1; i < sequence; ++i)
            m_seen.reset(i % Size);
    if (sequence <= m_newest && m_seen.test(sequence % Size))
        return false;
    m_seen.set(sequence % Size);
    m_newest = std::max(m_newest, sequence);
    return true;
}

} // namespace Apricothook
