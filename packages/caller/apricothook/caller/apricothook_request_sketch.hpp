#pragma once

#include <apricothook/ports/apricothook_caller_event.hpp>

#include <string_view>

namespace Apricothook {

/** The parts of a request that a sketch is made of. */
struct SketchSource
{
    std::string_view method;
    std::string_view service;
    /** Path and query below the service. */
    std::string_view path;
    std::string_view contentType;
    std::string_view body;
};

/**
 * Reads what the scheduler must know of a body. Never fails: a body that isn't a completion of
 * docs/ENGINE-PROTOCOL.md counts as a prompt of its size, without model and prefixes.
 *
 * Costs one pass over the body, and a JSON parse only of documents with few values.
 */
RequestProfile sketchOf(const SketchSource &source);

/**
 * Hashes of the prompt's beginnings: entry i covers the first 2^i blocks of 1,024 bytes. At most
 * MaximumPrefixes; see docs/ENGINE-PROTOCOL.md.
 */
std::vector<PrefixHash> prefixHashesOf(std::string_view prompt);

} // namespace Apricothook
