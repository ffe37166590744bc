#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/peers/internal/apricothook_replay_window.hpp>

#include <cstdint>
#include <map>

namespace Apricothook {

/**
 * A window for each sender's life. Two lives of one member have one each, as a process that was
 * replaced while paused must still be heard to be told so.
 */
class ReplayWindows
{
public:
    /** Lives kept: more than twice the fleet and a day of replacements; the longest silent goes. */
    static constexpr std::size_t Capacity = 1024;

    bool accept(const MemberInstance &sender, std::uint64_t sequence);

private:
    struct Entry
    {
        ReplayWindow window;
        std::uint64_t lastUse = 0;
    };

    void forgetOne();

    std::map<MemberInstance, Entry> m_entries;
    std::uint64_t m_uses = 0;
};

} // namespace Apricothook
