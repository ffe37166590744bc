#include <apricothook/configservice/apricothook_text_shelf.hpp>

#include <apricothook/configservice/apricothook_text_pieces.hpp>

#include <utility>

namespace Apricothook {

ShelvedText::ShelvedText(Generation generation, std::uint64_t textHash,
                         std::shared_ptr<const std::string> text)
    : m_generation(generation)
    , m_textHash(textHash)
    , m_text(std::move(text))
    , m_pieces(cutText(*m_text))
    , m_hashes(pieceHashes(m_pieces))
{
    for (std::size_t i = 0; i < m_hashes.size(); ++i)
        m_byHash.emplace(m_hashes[i], i);
}

std::optional<std::string_view> ShelvedText::piece(std::size_t index) const
{
    return index < m_pieces.size() ? std::optional(m_pieces[index]) : std::nullopt;
}

std::optional<std::string_view> ShelvedText::pieceOf(std::uint64_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? std::nullopt : piece(found->second);
}

void TextShelf::put(Generation generation, std::uint64_t textHash,
                    std::shared_ptr<const std::string> text)
{
    auto shelved = std::make_shared<const ShelvedText>(generation, textHash, std::move(text));
    const std::lock_guard lock(m_mutex);
    m_texts.push_back(std::move(shelved));
    if (m_texts.size() > Kept)
        m_texts.pop_front();
}

std::shared_ptr<const ShelvedText> TextShelf::find(Generation generation,
                                                   std::uint64_t textHash) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &text : m_texts) {
        if (text->generation() == generation && text->textHash() == textHash)
            return text;
    }
    return nullptr;
}

std::shared_ptr<const ShelvedText> TextShelf::newest() const
{
    const std::lock_guard lock(m_mutex);
    return m_texts.empty() ? nullptr : m_texts.back();
}

} // namespace Apricothook
