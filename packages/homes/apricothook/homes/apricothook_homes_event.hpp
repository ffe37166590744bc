#pragma once

namespace Apricothook {

// clang-format off
/** Numbered events of homes and limits; the details are "name=value" words. */
enum class HomesEvent : int {
    KeysFull = 300, ///< warning: a home keeps as many keys as it may and refuses new ones; kept=count. Operator: raise policy.keptKeys or shorten policy.deduplicationWindow.
    KeyLostMemory = 301, ///< info: a key was refused as it may be older than this life. Operator: none.
    KeyOutcomeUnknown = 302, ///< warning: a key was sent again and nobody knows how it ended; holder=member, target=where it went. Operator: look at the target if the work must not be lost.
    TooManyExchanges = 304, ///< warning: one key was closed by more exchanges than a home remembers and is refused. Operator: ask the customer why it sends one key so often.
};
// clang-format on

} // namespace Apricothook
