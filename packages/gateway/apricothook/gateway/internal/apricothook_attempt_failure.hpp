#pragma once

#include <apricothook/gateway/apricothook_target_channel.hpp>

#include <string_view>

namespace Apricothook::AttemptFailure {

/** Nothing was sent, so the request hasn't arrived. */
constexpr std::string_view NotConnected = "not-connected";

/** The word of the log for a channel's failure. */
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
