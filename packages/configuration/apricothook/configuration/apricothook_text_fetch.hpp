#pragma once

#include <apricothook/configuration/apricothook_text_claims.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <set>

namespace Apricothook {

/**
 * Chooses the member to fetch a text from: the one that told of it first, then random ones. Whoever
 * is told by few fetches from few, so that no holder is asked by the whole fleet at once.
 *
 * One fetch runs at a time. News that comes meanwhile waits, so that of several revisions in a
 * second only the newest is fetched next.
 */
class TextFetch
{
public:
    explicit TextFetch(Duration patience) : m_patience(patience) { }

    bool isRunning() const { return m_running.has_value(); }
    bool hasTimedOut(Instant now) const { return m_running && now >= m_until; }
    /** The fetch of this text ended. */
    void end(const TextName &text);
    /** A text came, by this way or another: a running fetch of it or an older one is of no use. */
    void endUpTo(const TextName &text);
    void giveUp();
    /** Begins to fetch; nothing when every holder has been tried: then all are tried anew. */
    std::optional<MemberId> begin(const TextName &text, const std::vector<MemberId> &holders,
                                  const MemberId &teller, Instant now, RandomSource &random);
    const std::optional<TextName> &running() const { return m_running; }

private:
    Duration m_patience;
    std::optional<TextName> m_running;
    Instant m_until {};
    TextName m_triedFor;
    std::set<MemberId> m_tried;
};

} // namespace Apricothook
