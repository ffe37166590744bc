#include <apricothook/gateway/apricothook_request_outcome.hpp>

namespace Apricothook {

std::string_view nameOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NoConfiguration:
        return "no-configuration";
    case RequestOutcome::Leaving:
        return "leaving";
    case RequestOutcome::BadRequest:
        return "bad-request";
    case RequestOutcome::NoRoute:
        return "no-route";
    case RequestOutcome::UnknownKey:
        return "unknown-key";
    case RequestOutcome::OverLimit:
        return "over-limit";
    case RequestOutcome::NoGrantor:
        return "no-grantor";
    case RequestOutcome::NoRoom:
        return "no-room";
    case RequestOutcome::NoMemory:
        return "no-memory";
    case RequestOutcome::TargetsRefused:
        return "targets-refused";
    case RequestOutcome::Quarantined:
        return "quarantined";
    case RequestOutcome::Uninformed:
        return "uninformed";
    case RequestOutcome::UnknownVersion:
        return "unknown-version";
    case RequestOutcome::TargetFailed:
        return "target-failed";
    case RequestOutcome::TimedOut:
        return "timed-out";
    case RequestOutcome::CallerGone:
        break;
    }
    return "caller-gone";
}

} // namespace Apricothook
