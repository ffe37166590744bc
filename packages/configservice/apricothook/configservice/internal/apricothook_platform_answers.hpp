#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** The platform's answer to GET /v1/config. */
struct PlatformText
{
    Generation generation;
    std::string text;
};

/** Nothing when the answer isn't of the agreed form, or the text is over the platform's size. */
std::optional<PlatformText> readPlatformText(std::string_view body);
/** The leaving VMs of the platform's answer to GET /v1/vms. */
std::optional<VmList> readPlatformVms(std::string_view body);

} // namespace Apricothook
