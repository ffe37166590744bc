#pragma once

#include <apricothook/testing/apricothook_http_host.hpp>

#include <json/value.h>

namespace Apricothook {

/** The object in the body; null where there is none. */
Json::Value jsonOf(const std::string &body);
/** One line without indentation. */
std::string textOf(const Json::Value &document);
HttpReply jsonReply(const Json::Value &document, int status = 200);

/** Sets `value` where the document has that member. */
void take(const Json::Value &document, const char *member, bool &value);
void take(const Json::Value &document, const char *member, double &value);
void take(const Json::Value &document, const char *member, std::uint32_t &value);
void take(const Json::Value &document, const char *member, std::uint64_t &value);
void take(const Json::Value &document, const char *member, std::string &value);

} // namespace Apricothook
