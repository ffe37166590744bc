#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

namespace Apricothook {

// These functions tell whether a number received from a peer, cast to the enumeration, is one of
// its enumerators. The switches have no default case, so that the compiler reports an enumerator
// that was added to the model but not here (-Wswitch). Otherwise every daemon would reject messages
// that contain it.

constexpr bool isKnown(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
    case MemberState::Leaving:
    case MemberState::Suspect:
    case MemberState::Dead:
        return true;
    }
    return false;
}

constexpr bool isKnown(GrantVerdict verdict)
{
    switch (verdict) {
    case GrantVerdict::Granted:
    case GrantVerdict::Running:
    case GrantVerdict::Finished:
    case GrantVerdict::OutcomeUnknown:
    case GrantVerdict::Conflict:
    case GrantVerdict::WrongHome:
    case GrantVerdict::LostMemory:
    case GrantVerdict::Full:
        return true;
    }
    return false;
}

constexpr bool isKnown(KeyEnd end)
{
    switch (end) {
    case KeyEnd::Answered:
    case KeyEnd::NotRun:
    case KeyEnd::Unknown:
        return true;
    }
    return false;
}

constexpr bool isKnown(KeyState state)
{
    switch (state) {
    case KeyState::NotSeen:
    case KeyState::Running:
    case KeyState::Answered:
    case KeyState::NotRun:
    case KeyState::Unknown:
    case KeyState::LostMemory:
    case KeyState::Conflict:
        return true;
    }
    return false;
}

constexpr bool isKnown(ReserveVerdict verdict)
{
    switch (verdict) {
    case ReserveVerdict::Reserved:
    case ReserveVerdict::Queued:
    case ReserveVerdict::Shed:
    case ReserveVerdict::Elsewhere:
    case ReserveVerdict::PatienceTooShort:
    case ReserveVerdict::NoTarget:
    case ReserveVerdict::NotSteward:
    case ReserveVerdict::PatienceOver:
        return true;
    }
    return false;
}

constexpr bool isKnown(RunEnd end)
{
    switch (end) {
    case RunEnd::Answered:
    case RunEnd::Refused:
    case RunEnd::ConnectFailed:
    case RunEnd::Crashed:
    case RunEnd::Cancelled:
    case RunEnd::TimedOut:
        return true;
    }
    return false;
}

} // namespace Apricothook
