#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_refusal.hpp>

#include <optional>

namespace Apricothook {

/** Who chose a request's key. */
enum class KeyOrigin {
    Minted, ///< This entry, for this exchange: no earlier attempt can exist.
    Caller, ///< The caller, who may have sent it before, here or elsewhere.
};

/**
 * The refusal that a verdict stands for; nothing for Granted, and for WrongHome, which is asked
 * again elsewhere. `retryAfter` is for LostMemory: when the home's memory is whole again.
 */
std::optional<Refusal> refusalOf(GrantVerdict verdict, KeyOrigin origin,
                                 std::optional<Duration> retryAfter = std::nullopt);

/** The refusal when the homes didn't answer within the patience, or are known to be gone. */
Refusal unreachableHomeRefusal(KeyOrigin origin);

} // namespace Apricothook
