#include <apricothook/steward/apricothook_steward_snapshot.hpp>

namespace Apricothook {

std::string_view nameOf(TargetCondition condition)
{
    switch (condition) {
    case TargetCondition::Serving:
        return "serving";
    case TargetCondition::Leaving:
        return "leaving";
    case TargetCondition::Suspended:
        return "suspended";
    case TargetCondition::Trial:
        return "trial";
    case TargetCondition::Straggling:
        return "straggling";
    }
    return "serving";
}

} // namespace Apricothook
