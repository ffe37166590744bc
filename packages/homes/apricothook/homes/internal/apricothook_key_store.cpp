#include <apricothook/homes/internal/apricothook_key_store.hpp>

#include <openssl/evp.h>

namespace Apricothook {

KeyDigest digestOf(const RequestKey &key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    EVP_Digest(key.text().data(), key.text().size(), bytes.data(), nullptr, EVP_sha256(), nullptr);
    KeyDigest digest;
    std::memcpy(digest.words.data(), bytes.data(), sizeof(digest.words));
    return digest;
}

KeyRecord *KeyStore::find(const KeyDigest &digest)
{
    const auto found = m_records.find(digest);
    return found == m_records.end() ? nullptr : &found->second;
}

const KeyRecord *KeyStore::find(const KeyDigest &digest) const
{
    const auto found = m_records.find(digest);
    return found == m_records.end() ? nullptr : &found->second;
}

KeyRecord &KeyStore::create(const KeyDigest &digest, Instant now)
{
    m_turns.push_back({now, digest});
    KeyRecord &record = m_records[digest];
    record.touched = now;
    return record;
}

void KeyStore::expire(Instant now, Duration window, const MustStay &mustStay)
{
    while (!m_turns.empty() && m_turns.front().at + window <= now) {
        Turn turn = m_turns.front();
        m_turns.pop_front();
        KeyRecord &record = m_records[turn.digest];
        // A request may run for longer than the window. If its record went, a resend would be
        // granted beside it; so it gets another turn for as long as its holder lives.
        const bool isRunning = mustStay(record);
        if (!isRunning && record.touched + window <= now) {
            m_records.erase(turn.digest);
            continue;
        }
        turn.at = isRunning ? now : record.touched;
        m_turns.push_back(turn);
    }
}

} // namespace Apricothook
