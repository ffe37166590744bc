#pragma once

#include <cstdint>
#include <string_view>

namespace Apricothook {

/** XXH64 of the bytes, equal in every process. Not cryptographically secure. */
std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed = 0);

/** Weight of a candidate for a key in rendezvous hashing. The largest weight is selected. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);
/** Variant for a key and a candidate that are already hashed. */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

} // namespace Apricothook
