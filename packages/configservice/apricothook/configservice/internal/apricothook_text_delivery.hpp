#pragma once

#include <apricothook/configservice/apricothook_text_checker.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <string>

namespace Apricothook {

/** Checks a text whole and gives the core what came of it: arrived or rejected, nothing between. */
void deliverText(Generation generation, std::string text, const TextChecker &checker,
                 CoreInbox &core);

} // namespace Apricothook
