#include <apricothook/gateway/apricothook_request_end.hpp>

namespace Apricothook {

std::string_view nameOf(RequestEnd end)
{
    switch (end) {
    case RequestEnd::Answered:
        return "answered";
    case RequestEnd::NoConfiguration:
        return "no-configuration";
    case RequestEnd::Leaving:
        return "leaving";
    case RequestEnd::BadRequest:
        return "bad-request";
    case RequestEnd::NoRoute:
        return "no-route";
    case RequestEnd::UnknownKey:
        return "unknown-key";
    case RequestEnd::OverLimit:
        return "over-limit";
    case RequestEnd::NoGrantor:
        return "no-grantor";
    case RequestEnd::NoRoom:
        return "no-room";
    case RequestEnd::TargetsRefused:
        return "targets-refused";
    case RequestEnd::Quarantined:
        return "quarantined";
    case RequestEnd::TargetFailed:
        return "target-failed";
    case RequestEnd::TimedOut:
        return "timed-out";
    case RequestEnd::CallerGone:
        break;
    }
    return "caller-gone";
}

} // namespace Apricothook
