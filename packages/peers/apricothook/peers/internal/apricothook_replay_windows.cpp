#include <apricothook/peers/internal/apricothook_replay_windows.hpp>

#include <algorithm>

namespace Apricothook {

bool ReplayWindows::accept(const MemberInstance &sender, std::uint64_t sequence)
{
    if (m_entries.size() >= Capacity && !m_entries.contains(sender))
        evictOldest();
    Entry &entry = m_entries[sender];
    entry.lastUse = ++m_uses;
    return entry.window.accept(sequence);
}

void ReplayWindows::evictOldest()
{
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](auto &a, auto &b) {
        return a.second.lastUse < b.second.lastUse;
    }));
}

} // namespace Apricothook
