#pragma once

#include <apricothook/configservice/apricothook_text_checker.hpp>

namespace Apricothook {

/** Checks a fleet text by the rules of docs/TEXT.md. */
class StrictTextChecker : public TextChecker
{
public:
    Result<FleetText, TextFault> check(std::string_view text) const override;
};

} // namespace Apricothook
