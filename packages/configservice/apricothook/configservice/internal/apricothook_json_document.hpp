#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Nothing when it isn't one strict JSON document with an object at its root. */
std::optional<Json::Value> readJsonObject(std::string_view text);
/** On one line, without spaces. */
std::string writeJson(const Json::Value &value);

/** A 64-bit number as 16 hex digits: JSON numbers lose the low bits in some readers. */
std::string hexOf(std::uint64_t number);
std::optional<std::uint64_t> fromHex(const Json::Value &value);

} // namespace Apricothook
