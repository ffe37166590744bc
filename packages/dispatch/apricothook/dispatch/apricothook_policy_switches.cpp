#include <apricothook/dispatch/apricothook_policy_switches.hpp>

#include <algorithm>
#include <array>

namespace Apricothook {

namespace {

struct NamedSwitch
{
    std::string_view name;
    bool PolicySwitches::*field;
};

constexpr std::array Switches {
    NamedSwitch {"waiting", &PolicySwitches::waiting},
    NamedSwitch {"urgency", &PolicySwitches::urgency},
    NamedSwitch {"late-return", &PolicySwitches::lateReturn},
    NamedSwitch {"size-order", &PolicySwitches::sizeOrder},
    NamedSwitch {"others-first", &PolicySwitches::othersFirst},
    NamedSwitch {"forecast", &PolicySwitches::forecast},
    NamedSwitch {"scarcity", &PolicySwitches::scarcity},
    NamedSwitch {"avoidance", &PolicySwitches::avoidance},
    NamedSwitch {"repeats", &PolicySwitches::repeats},
    NamedSwitch {"stall-limit", &PolicySwitches::stallLimit},
    NamedSwitch {"slot-turns", &PolicySwitches::slotTurns},
    NamedSwitch {"limit-reserve", &PolicySwitches::limitReserve},
};

} // namespace

Result<PolicySwitches, UnknownPolicy> policiesWithout(const std::vector<std::string> &names)
{
    PolicySwitches switches;
    for (const std::string &name : names) {
        const auto *found = std::ranges::find(Switches, std::string_view(name), &NamedSwitch::name);
        if (found == Switches.end())
            return UnknownPolicy {name};
        switches.*(found->field) = false;
    }
    return switches;
}

} // namespace Apricothook
