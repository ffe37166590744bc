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

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate)
{
    // The finalizer of splitmix64.
    std::uint64_t mixed = key ^ (candidate * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

} // namespace Apricothook
