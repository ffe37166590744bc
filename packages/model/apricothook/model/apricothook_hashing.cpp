#include <apricothook/model/apricothook_hashing.hpp>

#include <xxhash.h>

namespace Apricothook {

std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hashOf(candidate, hashOf(key));
}

} // namespace Apricothook
