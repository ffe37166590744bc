#pragma once

#include <bitset>
#include <cstdint>

namespace Apricothook {

/**
 * Which of the last sequence numbers of one sender have come. The numbers count all datagrams of
 * the sender, whoever they are for: the window holds some seconds of its busiest sending.
 */
class ReplayWindow
{
public:
    static constexpr std::uint64_t Size = 1024;

    /** False for a number that has come or is older than the window; otherwise notes it. */
    bool accept(std::uint64_t sequence);

private:
    std::bitset<Size> m_seen;
    std::uint64_t m_newest = 0;
};

} // namespace Apricothook
