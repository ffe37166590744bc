#include <apricothook/testing/apricothook_prefix_cache.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

namespace Apricothook {

std::vector<PrefixHash> prefixHashes(std::string_view prompt)
{
    std::vector<PrefixHash> hashes;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + PrefixBlockBytes <= prompt.size(); at += PrefixBlockBytes) {
        hash = hashOf(prompt.substr(at, PrefixBlockBytes), hash);
        hashes.emplace_back(hash);
    }
    return hashes;
}

std::size_t PrefixCache::touch(const std::vector<PrefixHash> &blocks)
{
    std::size_t hits = 0;
    for (const PrefixHash &block : blocks) {
        const auto place = m_places.find(block);
        if (place == m_places.end())
            break;
        m_order.splice(m_order.begin(), m_order, place->second);
        ++hits;
    }
    return hits;
}

std::vector<CacheChange> PrefixCache::store(const std::vector<PrefixHash> &blocks)
{
    std::vector<CacheChange> changes;
    for (const PrefixHash &block : blocks) {
        if (m_capacity == 0 || m_places.contains(block))
            continue;
        if (m_order.size() == m_capacity) {
            changes.push_back({m_order.back(), false});
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
        m_order.push_front(block);
        m_places[block] = m_order.begin();
        changes.push_back({block, true});
    }
    return changes;
}

void PrefixCache::clear()
{
    m_order.clear();
    m_places.clear();
}

} // namespace Apricothook
