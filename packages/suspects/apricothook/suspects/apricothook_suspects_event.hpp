#pragma once

namespace Apricothook {

// clang-format off
/** Numbered events of requests that crash their targets; the details are "name=value" words. */
enum class SuspectsEvent : int {
    SuspectNoted = 310, ///< warning: a request was running on a target that crashed; fingerprint=number, target=name. Operator: none.
    SuspectQuarantined = 311, ///< error: a request alone explains crashes of several targets and is refused; fingerprint=number. Operator: tell the customer; report the request to the engine's developers.
    SuspectCleared = 312, ///< info: a suspect was answered completely; fingerprint=number. Operator: none.
};
// clang-format on

} // namespace Apricothook
