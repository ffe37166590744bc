#pragma once

#include <boost/outcome.hpp>

namespace Apricothook {

namespace Outcomes = BOOST_OUTCOME_V2_NAMESPACE;

/** Result of a function that may fail. E is an enumeration or a struct, never a string. */
template <typename T, typename E>
using Result = Outcomes::result<T, E, Outcomes::policy::all_narrow>;

} // namespace Apricothook
