#pragma once

#include <bitset>
#include <cstdint>

namespace Apricothook {

/**
 * Records which of the latest sequence numbers of one sender have been received. The sender numbers
 * its datagrams to all receivers in one sequence, so that the window covers some seconds at its
 * highest sending rate.
 */
class ReplayWindow
{
public:
    static constexpr std::uint64_t Size = 1024;

    /**
     * Returns false if the number has been received before or is older than the window; otherwise
     * records it.
     */
    bool accept(std::uint64_t sequence);

private:
    std::bitset<Size> m_seen;
    std::uint64_t m_newest = 0;
};

} // namespace Apricothook
