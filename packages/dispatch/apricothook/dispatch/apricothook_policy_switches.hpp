#pragma once

#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/**
 * Policies that can be switched off to measure the effect of each. All are on unless the command
 * line says otherwise; docs/DECISIONS.md has the figures.
 */
struct PolicySwitches
{
    bool waiting = true; ///< If off: requests that find no free slot are refused at once.
    bool urgency = true; ///< If off: a service's routes are ordered by their tiers alone.
    bool lateReturn
        = true; ///< If off: refused callers retry after a delay based on the queue's length.
    bool sizeOrder = true; ///< If off: a route's requests are served in order of arrival.
    bool othersFirst
        = true; ///< If off: free slots aren't left to more urgent requests of other daemons.
    bool forecast
        = true; ///< If off: the target with the smallest fraction of used slots is chosen.
    bool scarcity = true;     ///< If off: a target's last slot costs as little as its first.
    bool avoidance = true;    ///< If off: failing targets are chosen like any other.
    bool repeats = true;      ///< If off: a request is sent to one target only.
    bool stallLimit = true;   ///< If off: long prompts may stall the streams of any target.
    bool slotTurns = true;    ///< If off: any daemon may fill a free slot at once.
    bool limitReserve = true; ///< If off: a customer's units are granted in order of arrival.

    auto operator<=>(const PolicySwitches &) const = default;
};

/** The given name is that of no policy. */
struct UnknownPolicy
{
    std::string name;
};

/**
 * Switches on all policies but the named ones. A name is that of the field, with dashes
 * ("limit-reserve").
 */
Result<PolicySwitches, UnknownPolicy> policiesWithout(const std::vector<std::string> &names);

} // namespace Apricothook
