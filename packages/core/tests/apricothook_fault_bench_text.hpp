#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

namespace Apricothook {

/** The customer of all calls; the name is a part of the keys that homes know. */
inline const char *const CustomerName = "lin";

/** Two plain targets, two engines, and a service without targets; daemons "a", "b" and so on. */
FleetText firstText(std::size_t daemons);

} // namespace Apricothook
