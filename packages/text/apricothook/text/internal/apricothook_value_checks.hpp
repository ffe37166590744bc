#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** 1 to 64 of letters, digits, '.', '_' and '-'. */
bool isName(std::string_view text);

/** A number as JSON writes it. */
bool isJsonNumber(std::string_view text);

/** 64 hex digits, in lower case; nothing for anything else. */
std::optional<std::string> parseKeyHash(std::string_view text);

/**
 * An endpoint in the one writing that its address has. IPv6 has many writings of one address;
 * without this, two targets could share an address unseen and be given twice their slots.
 */
std::optional<Endpoint> parseCanonicalEndpoint(std::string_view text);

/** 0.0.0.0 or [::], which nobody can connect to. */
bool isUnspecified(const Endpoint &endpoint);

/** A number without needless digits, for errors and changes. */
std::string shortNumber(double number);

} // namespace Apricothook
