#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <deque>
#include <map>

namespace Apricothook {

/** What the own cell admits of each customer in a second, from the last second. */
class RateMeter
{
public:
    /** Long enough to smooth single requests, short enough to show a burst within a second. */
    static constexpr std::chrono::milliseconds Window {1000};

    void add(std::uint64_t customer, std::uint64_t units, Instant now);
    /** The largest rates first, at most `most`. */
    std::vector<CustomerRate> rates(std::size_t most, Instant now);

private:
    struct Admitted
    {
        Instant at {};
        std::uint64_t customer = 0;
        std::uint64_t units = 0;
    };

    void forgetBefore(Instant start);

    std::deque<Admitted> m_admitted;
    std::map<std::uint64_t, std::uint64_t> m_sums;
};

} // namespace Apricothook
