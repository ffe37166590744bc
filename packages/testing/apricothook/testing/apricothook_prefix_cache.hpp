#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothook {

constexpr std::size_t PrefixBlockBytes = 1024;
constexpr std::uint32_t PrefixBlockTokens = PrefixBlockBytes / 4;

/** The chained hashes of the prompt's whole blocks. */
std::vector<PrefixHash> prefixHashes(std::string_view prompt);

/** What an engine's prefix cache did; `isStored` false: evicted. */
struct CacheChange
{
    PrefixHash prefix;
    bool isStored = false;
};

/** The prefix cache of an engine: block hashes, the least recently used leaves first. */
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacityBlocks) : m_capacity(capacityBlocks) { }

    /** Blocks at the start that are cached; they become the most recently used. */
    std::size_t touch(const std::vector<PrefixHash> &blocks);
    /** Stores every block; the changes in order. */
    std::vector<CacheChange> store(const std::vector<PrefixHash> &blocks);
    bool contains(PrefixHash prefix) const { return m_places.contains(prefix); }
    std::size_t size() const { return m_order.size(); }
    void clear();

private:
    std::size_t m_capacity;
    std::list<PrefixHash> m_order; ///< The most recently used first.
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_places;
};

} // namespace Apricothook
