#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Apricothook {

/** The JSON body of a refusal, after RFC 9457. */
std::string problemDocument(const Refusal &refusal, const RequestKey &key);

/** Retry-After in whole seconds, rounded up, so that nobody comes back too early. */
std::optional<std::int64_t> retryAfterSeconds(const Refusal &refusal);

} // namespace Apricothook
