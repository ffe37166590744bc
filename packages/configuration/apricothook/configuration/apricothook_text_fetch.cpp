#include <apricothook/configuration/apricothook_text_fetch.hpp>

#include <algorithm>

namespace Apricothook {

void TextFetch::end(const TextName &text)
{
    if (m_running == text)
        m_running.reset();
}

void TextFetch::endUpTo(const TextName &text)
{
    if (m_running && m_running->generation <= text.generation)
        m_running.reset();
}

void TextFetch::giveUp()
{
    m_running.reset();
}

std::optional<MemberId> TextFetch::begin(const TextName &text, const std::vector<MemberId> &holders,
                                         const MemberId &teller, Instant now, RandomSource &random)
{
    if (m_triedFor != text) {
        m_triedFor = text;
        m_tried.clear();
    }
    std::vector<MemberId> untried;
    for (const MemberId &holder : holders) {
        if (!m_tried.contains(holder))
            untried.push_back(holder);
    }
    if (untried.empty()) {
        m_tried.clear();
        return std::nullopt;
    }
    const bool isTellerThere = std::find(untried.begin(), untried.end(), teller) != untried.end();
    MemberId chosen = isTellerThere ? teller : untried[random.next() % untried.size()];
    m_tried.insert(chosen);
    m_running = text;
    m_until = now + m_patience;
    return chosen;
}

} // namespace Apricothook
