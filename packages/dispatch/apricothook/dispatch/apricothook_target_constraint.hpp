#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <optional>
#include <set>

namespace Apricothook {

/** The targets of a service that may get a request. */
struct TargetConstraint
{
    /** Targets that already received the request. */
    std::set<TargetInstance> excluded;
    /**
     * Set if the request goes on with a stream that has begun: the version of the target that began
     * it. An empty version isn't known, so no target may get the request.
     */
    std::optional<TargetVersion> version;

    bool allows(const TargetEntry &target) const;
    bool allowsAll() const { return excluded.empty() && !version; }
    auto operator<=>(const TargetConstraint &) const = default;
};

} // namespace Apricothook
