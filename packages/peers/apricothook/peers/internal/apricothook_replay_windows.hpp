#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/peers/internal/apricothook_replay_window.hpp>

#include <cstdint>
#include <map>

namespace Apricothook {

/**
 * Replay windows, one for each instance of each sender. Two instances of a member are tracked
 * separately, because a process that was replaced while it was paused must still be received in
 * order to be told so.
 */
class ReplayWindows
{
public:
    /**
     * Number of instances tracked: more than twice the fleet and a day of replacements. The one
     * that has been silent for longest is evicted.
     */
    static constexpr std::size_t Capacity = 1024;

    bool accept(const MemberInstance &sender, std::uint64_t sequence);

private:
    struct Entry
    {
        ReplayWindow window;
        std::uint64_t lastUse = 0;
    };

    void evictOldest();

    std::map<MemberInstance, Entry> m_entries;
    std::uint64_t m_uses = 0;
};

} // namespace Apricothook
