#pragma once

#include <cstdint>
#include <string_view>

namespace Apricothook {

/** XXH64 of the bytes; the same in every process. Not for secrets. */
std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed = 0);

/** The weight of a candidate for a key in rendezvous hashing; the largest wins. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);
/** The same where both are hashes already. */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

} // namespace Apricothook
