#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

enum class DocumentError {
    NotJson,
    WrongShape, ///< A member is missing, of another type or out of range.
};

/** Longest document read from an engine; 500 cache events are about 40 KB. */
constexpr std::size_t MaximumDocumentBytes = 128UL * 1024;

/** Reads the answer of GET /v1/load; target and isReachable are filled in. */
Result<LoadReport, DocumentError> parseLoad(const TargetId &target, std::string_view text);

/** Reads the answer of GET /v1/cache-events, ordered by sequence; events `after` or before drop. */
Result<std::vector<CacheEvent>, DocumentError> parseCacheEvents(std::string_view text,
                                                                std::uint64_t after);

/** The body of POST /v1/orders. */
std::string orderDocument(const EngineOrder &order);

} // namespace Apricothook
