#pragma once

#include <apricothook/core/apricothook_explain_log.hpp>
#include <apricothook/membership/apricothook_lookup.hpp>

#include <string>

namespace Apricothook {

struct CoreParts;

/** The JSON document of `apricothook status`; docs/CLI.md lists its fields. */
std::string statusDocument(const CoreParts &parts, Instant now);
/** The JSON document of `apricothook explain`: the steps that this daemon decided, in order. */
std::string explainDocument(const ExplainLog &log, const RequestKey &callerKey);
/** The JSON document of GET /v1/entries. */
std::string entriesDocument(const LookupAnswer &answer, const std::string &ticket);

} // namespace Apricothook
