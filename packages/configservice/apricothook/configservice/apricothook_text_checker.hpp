#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace Apricothook {

/** Why a fleet text is refused; the first error with its line and path. */
struct TextFault
{
    std::size_t errors = 0;
    std::string firstError;
    auto operator<=>(const TextFault &) const = default;
};

/** Parses and checks a fleet text, whole. Called from several threads. */
class TextChecker
{
public:
    virtual ~TextChecker() = default;
    virtual Result<FleetText, TextFault> check(std::string_view text) const = 0;
};

} // namespace Apricothook
