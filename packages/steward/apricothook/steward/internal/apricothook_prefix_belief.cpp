#include <apricothook/steward/internal/apricothook_prefix_belief.hpp>

#include <algorithm>
#include <iterator>

namespace Apricothook {

namespace {

std::uint64_t coveredTokens(std::size_t index)
{
    return static_cast<std::uint64_t>(BlockTokens) << index;
}

} // namespace

void PrefixBelief::setCapacity(std::uint64_t capacity)
{
    m_capacity = capacity;
    shrink();
}

void PrefixBelief::used(const std::vector<PrefixHash> &prefixes, Instant readAt, Instant now)
{
    // Longest first, so that the shortest is the most recent: an engine evicts from the end.
    for (std::size_t index = prefixes.size(); index-- > 0;) {
        const std::uint64_t below = index == 0 ? 0 : coveredTokens(index - 1);
        touch({prefixes[index], coveredTokens(index) - below, now, readAt});
    }
    shrink();
}

void PrefixBelief::stored(PrefixHash prefix, Instant now)
{
    touch({prefix, BlockTokens, now, now});
    shrink();
}

void PrefixBelief::evicted(PrefixHash prefix)
{
    const auto found = m_index.find(prefix);
    if (found != m_index.end())
        erase(found->second);
}

void PrefixBelief::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

std::uint32_t PrefixBelief::cachedTokens(const std::vector<PrefixHash> &prefixes,
                                         const BeliefExpiry &expiry, Instant now) const
{
    std::size_t known = 0;
    std::size_t above = prefixes.size();
    auto deepest = m_index.end();
    while (known < above) {
        const std::size_t middle = (known + above) / 2;
        const auto found = m_index.find(prefixes[middle]);
        if (found == m_index.end() || found->second->cachedFrom > now) {
            above = middle;
            continue;
        }
        deepest = found;
        known = middle + 1;
    }
    if (known == 0)
        return 0;
    const auto age = std::chrono::duration_cast<Duration>(now - deepest->second->at);
    const double tokens = static_cast<double>(coveredTokens(known - 1)) * expiry.confidence(age);
    return static_cast<std::uint32_t>(tokens);
}

void PrefixBelief::touch(const Entry &touched)
{
    const auto found = m_index.find(touched.prefix);
    if (found != m_index.end()) {
        found->second->at = touched.at;
        found->second->cachedFrom = std::min(found->second->cachedFrom, touched.cachedFrom);
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    m_entries.push_front(touched);
    m_index.emplace(touched.prefix, m_entries.begin());
    m_tokens += touched.tokens;
}

void PrefixBelief::erase(Entries::iterator entry)
{
    m_tokens -= entry->tokens;
    m_index.erase(entry->prefix);
    m_entries.erase(entry);
}

void PrefixBelief::shrink()
{
    while (m_tokens > m_capacity)
        erase(std::prev(m_entries.end()));
}

} // namespace Apricothook
