#pragma once

#include <apricothook/gateway/apricothook_target_channel.hpp>

#include <string_view>

namespace Apricothook::AttemptFailure {

/** No byte was sent, so the target didn't receive the request. */
constexpr std::string_view NotConnected = "not-connected";

/** The cause of a channel failure as it is logged. */
constexpr std::string_view causeOf(ChannelFailure failure)
{
    switch (failure) {
    case ChannelFailure::NotConnected:
        return NotConnected;
    case ChannelFailure::Broken:
        return "broken";
    case ChannelFailure::Malformed:
        break;
    }
    return "malformed";
}

} // namespace Apricothook::AttemptFailure
