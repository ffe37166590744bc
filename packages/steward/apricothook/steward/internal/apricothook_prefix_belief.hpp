#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/steward/apricothook_belief_expiry.hpp>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** Tokens of one block of 1,024 bytes; see docs/ENGINE-PROTOCOL.md. */
constexpr std::uint32_t BlockTokens = 256;

/**
 * Which prefixes one engine is believed to have cached: least recently used go first, as in the
 * engine's own limited memory. prefixes[i] covers the first 2^i blocks of a prompt.
 */
class PrefixBelief
{
public:
    /** `capacity` in tokens; 0: nothing is ever believed. */
    explicit PrefixBelief(std::uint64_t capacity) : m_capacity(capacity) { }
    void setCapacity(std::uint64_t capacity);
    /**
     * A prompt with these prefixes was sent to the engine, which will have read it at `readAt`.
     * Until then a second prompt with the prefix finds nothing in the cache and is read in full.
     */
    void used(const std::vector<PrefixHash> &prefixes, Instant readAt, Instant now);
    /** The engine says that it stored a block; it may be one that no request asks for. */
    void stored(PrefixHash prefix, Instant now);
    void evicted(PrefixHash prefix);
    /** The engine restarted, or went out of sight for long. */
    void clear();
    /** Prompt tokens believed to be cached. At most five look-ups: longer prefixes imply shorter.
     */
    std::uint32_t cachedTokens(const std::vector<PrefixHash> &prefixes, const BeliefExpiry &expiry,
                               Instant now) const;

private:
    struct Entry
    {
        PrefixHash prefix;
        std::uint64_t tokens = 0;
        Instant at;
        Instant cachedFrom;
    };
    using Entries = std::list<Entry>;

    void touch(const Entry &touched);
    void erase(Entries::iterator entry);
    void shrink();

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    /** Most recently used first. */
    Entries m_entries;
    std::unordered_map<PrefixHash, Entries::iterator> m_index;
};

} // namespace Apricothook
