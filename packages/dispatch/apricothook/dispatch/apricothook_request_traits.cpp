#include <apricothook/dispatch/apricothook_request_traits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

namespace Apricothook {

namespace {

/** The highest bit of a trait's number tells the kind. */
constexpr std::uint64_t PartBit = std::uint64_t(1) << 63U;

} // namespace

std::string_view nameOf(TraitKind kind)
{
    return kind == TraitKind::Content ? "content" : "prompt-part";
}

std::uint64_t traitNumber(TraitKind kind, std::uint64_t hash)
{
    return kind == TraitKind::Content ? hash & ~PartBit : hash | PartBit;
}

TraitKind traitKind(std::uint64_t trait)
{
    return (trait & PartBit) == 0 ? TraitKind::Content : TraitKind::PromptPart;
}

std::uint64_t contentTrait(Fingerprint request)
{
    return traitNumber(TraitKind::Content, hashOf("suspect", request.value()));
}

std::uint64_t partTrait(const PromptPartId &part)
{
    return traitNumber(TraitKind::PromptPart, hashOf(part.text(), hashOf("prompt part")));
}

std::vector<std::uint64_t> RequestTraits::all() const
{
    std::vector<std::uint64_t> traits {content};
    traits.insert(traits.end(), parts.begin(), parts.end());
    return traits;
}

} // namespace Apricothook
