#pragma once

#include <string_view>

namespace Apricothook {

/** Why a daemon couldn't start. */
enum class DaemonFailure {
    PeerKeysUnreadable,
    PeerAddressInUse, ///< UDP or TCP.
    CallerAddressInUse,
    MetricsAddressInUse,
    NoThread,
};

std::string_view nameOf(DaemonFailure failure);

} // namespace Apricothook
