#include <apricothook/daemon/apricothook_daemon_failure.hpp>

namespace Apricothook {

std::string_view nameOf(DaemonFailure failure)
{
    switch (failure) {
    case DaemonFailure::PeerKeysUnreadable:
        return "peer-keys-unreadable";
    case DaemonFailure::PeerAddressInUse:
        return "peer-address-in-use";
    case DaemonFailure::CallerAddressInUse:
        return "caller-address-in-use";
    case DaemonFailure::MetricsAddressInUse:
        return "metrics-address-in-use";
    case DaemonFailure::NoThread:
        break;
    }
    return "no-thread";
}

} // namespace Apricothook
