#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** A fleet text cut into pieces; immutable. */
class ShelvedText
{
public:
    ShelvedText(Generation generation, std::uint64_t textHash,
                std::shared_ptr<const std::string> text);
    Generation generation() const { return m_generation; }
    std::uint64_t textHash() const { return m_textHash; }
    const std::vector<std::uint64_t> &hashes() const { return m_hashes; }
    /** Nothing when the text has no such piece. */
    std::optional<std::string_view> piece(std::size_t index) const;
    std::optional<std::string_view> pieceOf(std::uint64_t hash) const;

private:
    Generation m_generation;
    std::uint64_t m_textHash;
    std::shared_ptr<const std::string> m_text;
    std::vector<std::string_view> m_pieces;
    std::vector<std::uint64_t> m_hashes;
    std::unordered_map<std::uint64_t, std::size_t> m_byHash;
};

/**
 * The texts that peers may fetch: the one in force and the one before, as some peer may be in the
 * midst of fetching that. Safe for several threads.
 */
class TextShelf
{
public:
    void put(Generation generation, std::uint64_t textHash,
             std::shared_ptr<const std::string> text);
    std::shared_ptr<const ShelvedText> find(Generation generation, std::uint64_t textHash) const;
    /** The newest; null when there is none. */
    std::shared_ptr<const ShelvedText> newest() const;

private:
    static constexpr std::size_t Kept = 2;

    mutable std::mutex m_mutex;
    std::deque<std::shared_ptr<const ShelvedText>> m_texts;
};

} // namespace Apricothook
