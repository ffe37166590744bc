#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <deque>
#include <map>

namespace Apricothook {

/** What the own cell has lately admitted of one customer, in the limit's unit. */
struct RecentUse
{
    std::uint64_t customer = 0;
    /** In RateMeter::Window. */
    std::uint64_t inWindow = 0;
    /** Since it was asked before. */
    std::uint64_t fresh = 0;

    auto operator<=>(const RecentUse &) const = default;
};

/** What the own cell admits of each customer in a second, from the last second. */
class RateMeter
{
public:
    void add(std::uint64_t customer, std::uint64_t units, Instant now);
    /** Long enough to smooth single requests, short enough to show a burst within a second. */
    static constexpr std::chrono::milliseconds Window {1000};

    /** Admissions in the window from which a rate is more than chance. */
    static constexpr std::uint64_t EnoughAdmissions = 6;

    /** The largest rates first, at most `most`. */
    std::vector<CustomerRate> rates(std::size_t most, Instant now);
    /** Customers of EnoughAdmissions or more; what is fresh now won't be the next time. */
    std::vector<RecentUse> takeRecent(Instant now);

private:
    struct Admitted
    {
        Instant at {};
        std::uint64_t customer = 0;
        std::uint64_t units = 0;
    };

    struct Sum
    {
        std::uint64_t units = 0;
        std::uint64_t admissions = 0;
        std::uint64_t fresh = 0;
    };

    void forgetBefore(Instant start);

    std::deque<Admitted> m_admitted;
    std::map<std::uint64_t, Sum> m_sums;
};

} // namespace Apricothook
