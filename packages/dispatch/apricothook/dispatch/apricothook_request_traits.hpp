#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Something that requests may have in common and that may crash the targets that run them. */
enum class TraitKind : std::uint8_t {
    Content,    ///< The whole request: method, path, customer and body.
    PromptPart, ///< A part of the prompt, whoever names it.
};

std::string_view nameOf(TraitKind kind);

/**
 * Number of a trait in messages, logs and as a limit; it tells the kind. `hash`: of the trait.
 */
std::uint64_t traitNumber(TraitKind kind, std::uint64_t hash);
TraitKind traitKind(std::uint64_t trait);

/** Number of a request's content. */
std::uint64_t contentTrait(Fingerprint request);
std::uint64_t partTrait(const PromptPartId &part);

/** The numbers of a request's traits. */
struct RequestTraits
{
    std::uint64_t content = 0;
    /** In the order of the prompt, without repetitions. */
    std::vector<std::uint64_t> parts;
    /** customerHash() of the request's customer. */
    std::uint64_t customer = 0;

    /** The content first, then the parts. */
    std::vector<std::uint64_t> all() const;

    auto operator<=>(const RequestTraits &) const = default;
};

} // namespace Apricothook
