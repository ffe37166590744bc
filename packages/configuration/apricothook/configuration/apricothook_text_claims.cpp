#include <apricothook/configuration/apricothook_text_claims.hpp>

#include <algorithm>

namespace Apricothook {

bool TextClaims::note(const MemberId &member, const TextName &text)
{
    TextName &claim = m_claims[member];
    if (claim == text)
        return false;
    claim = text;
    return true;
}

void TextClaims::prune(const MemberView &view)
{
    if (view.version() == m_prunedVersion)
        return;
    m_prunedVersion = view.version();
    std::erase_if(m_claims, [&view](const auto &claim) {
        const std::optional<MemberUpdate> member = view.find(claim.first);
        return !member || member->state == MemberState::Dead;
    });
}

void TextClaims::reject(const TextName &text)
{
    if (isRejected(text))
        return;
    m_rejected.push_back(text);
    if (m_rejected.size() > MaximumRejected)
        m_rejected.pop_front();
}

bool TextClaims::isRejected(const TextName &text) const
{
    return std::find(m_rejected.begin(), m_rejected.end(), text) != m_rejected.end();
}

std::optional<TextName> TextClaims::best(Generation floor) const
{
    std::optional<TextName> best;
    for (const auto &[member, text] : m_claims) {
        if (text.generation <= floor || (best && text <= *best) || isRejected(text))
            continue;
        best = text;
    }
    return best;
}

std::vector<MemberId> TextClaims::holders(const TextName &text) const
{
    std::vector<MemberId> holders;
    for (const auto &[member, claim] : m_claims) {
        if (claim == text)
            holders.push_back(member);
    }
    return holders;
}

} // namespace Apricothook
