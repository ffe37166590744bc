#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Apricothook {

/** Names one fleet text: the platform's revision and the hash of its bytes. */
struct TextName
{
    Generation generation;
    std::uint64_t textHash = 0;
    auto operator<=>(const TextName &) const = default;
};

/** Which text each member says that it has in force, and which texts are known to be bad. */
class TextClaims
{
public:
    /** True when this is news of that member. */
    bool note(const MemberId &member, const TextName &text);
    /** Forgets members that are no longer live: nobody could fetch from them. */
    void prune(const MemberView &view);
    void reject(const TextName &text);
    bool isRejected(const TextName &text) const;
    /** The highest claimed text above `floor` that isn't known to be bad. */
    std::optional<TextName> best(Generation floor) const;
    std::vector<MemberId> holders(const TextName &text) const;

private:
    static constexpr std::size_t MaximumRejected = 64;

    std::map<MemberId, TextName> m_claims;
    std::deque<TextName> m_rejected;
    std::optional<std::uint64_t> m_prunedVersion;
};

} // namespace Apricothook
