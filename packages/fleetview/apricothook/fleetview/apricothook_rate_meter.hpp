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
    void add(std::uint64_t customer, std::uint64_t units, Instant now);
    /** Long enough to smooth single requests, short enough to show a burst within a second. */
    static constexpr std::chrono::milliseconds Window {1000};

    /** Admissions in the window from which a rate is more than chance. */
    static constexpr std::uint64_t EnoughAdmissions = 6;

    /** The largest rates first, at most `most`. */
    std::vector<CustomerRate> rates(std::size_t most, Instant now);
    /** Those of EnoughAdmissions or more. */
    std::vector<CustomerRate> certainRates(Instant now);

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
    };

    void forgetBefore(Instant start);
    std::vector<CustomerRate> ratesFrom(std::uint64_t admissions, Instant now);

    std::deque<Admitted> m_admitted;
    std::map<std::uint64_t, Sum> m_sums;
};

} // namespace Apricothook
