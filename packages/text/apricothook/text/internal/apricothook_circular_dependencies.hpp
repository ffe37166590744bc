#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace Apricothook {

/** Indices of services, each depending on the next and the last on the first. */
using DependencyCircle = std::vector<std::size_t>;

/**
 * Circles among the services: none only if there are none. Circles that share a service are told
 * once, by one of them. Without recursion, as a hostile text can chain thousands.
 */
std::vector<DependencyCircle> circularDependenciesOf(const std::vector<Service> &services);

/** Such as "a -> b -> a". */
std::string describe(const DependencyCircle &circle, const std::vector<Service> &services);

} // namespace Apricothook
