#pragma once

#include <apricothook/homes/internal/apricothook_key_record.hpp>

#include <array>
#include <cstring>
#include <deque>
#include <functional>
#include <unordered_map>

namespace Apricothook {

/** 128 bits of SHA-256 of a key: a caller can't choose two keys with the same digest. */
struct KeyDigest
{
    std::array<std::uint64_t, 2> words {};
    auto operator<=>(const KeyDigest &) const = default;
};

KeyDigest digestOf(const RequestKey &key);

struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const noexcept { return digest.words[0]; }
};

/** Records by key, dropped a window after they were last touched; each step costs O(1) per key. */
class KeyStore
{
public:
    /** True for a record that must stay although its time is over. */
    using MustStay = std::function<bool(const KeyRecord &)>;

    KeyRecord *find(const KeyDigest &digest);
    const KeyRecord *find(const KeyDigest &digest) const;
    KeyRecord &create(const KeyDigest &digest, Instant now);
    /** Drops what was last touched a window ago or earlier. */
    void expire(Instant now, Duration window, const MustStay &mustStay);
    std::size_t size() const { return m_records.size(); }

private:
    /** Every record stands here once; its true time is read when its turn comes. */
    struct Turn
    {
        Instant at {};
        KeyDigest digest;
    };

    std::unordered_map<KeyDigest, KeyRecord, KeyDigestHash> m_records;
    std::deque<Turn> m_turns;
};

} // namespace Apricothook
