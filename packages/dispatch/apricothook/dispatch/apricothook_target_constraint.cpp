#include <apricothook/dispatch/apricothook_target_constraint.hpp>

namespace Apricothook {

bool TargetConstraint::allows(const TargetEntry &target) const
{
    const bool isVersion = !version || (!version->isEmpty() && *version == target.version);
    return isVersion && !excluded.contains(target.instance());
}

} // namespace Apricothook
