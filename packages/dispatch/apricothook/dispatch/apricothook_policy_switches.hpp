#pragma once

#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/**
 * The decisions that can be switched off, to measure what each is worth. All are on unless the
 * command line says otherwise; docs/DECISIONS.md has the figures.
 */
struct PolicySwitches
{
    bool waiting = true;     ///< Without: what finds no room is refused at once.
    bool urgency = true;     ///< Without: a service's routes are ordered by their tiers alone.
    bool lateReturn = true;  ///< Without: refused callers come back by the queue's length.
    bool sizeOrder = true;   ///< Without: a route's requests are taken in order of arrival.
    bool othersFirst = true; ///< Without: a free slot isn't left to other daemons' urgent requests.
    bool forecast = true;    ///< Without: the target with the smallest part of its slots taken.
    bool scarcity = true;    ///< Without: a target's last slot is as cheap as its first.
    bool avoidance = true;   ///< Without: targets that fail are chosen like others.
    bool repeats = true;     ///< Without: a request is sent to one target only.
    bool limitReserve = true; ///< Without: a customer's units go to what comes first.

    auto operator<=>(const PolicySwitches &) const = default;
};

/** A name that is no policy's. */
struct UnknownPolicy
{
    std::string name;
};

/** All on but those that are named, in the words of the fields with dashes ("limit-reserve"). */
Result<PolicySwitches, UnknownPolicy> policiesWithout(const std::vector<std::string> &names);

} // namespace Apricothook
