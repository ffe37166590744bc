#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_member_brief.hpp>
#include <apricothook/fleetview/apricothook_peer_item_fetcher.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** Asks peers for published items that the own source hasn't told in time. */
class RevisionFollower
{
public:
    /** A peer's later revision is asked for when the own source hasn't told it by then. */
    static constexpr std::chrono::milliseconds OwnSourceTime {250};

    RevisionFollower(EventLoop &loop, PublishedState &published, LogWriter &log);

    /** A peer has told its revision. */
    void note(const MemberBrief &peer, Revision revision);

private:
    EventLoop &m_loop;
    PublishedState &m_published;
    LogWriter &m_log;
    PeerItemFetcher m_fetcher;
    /** Since when a peer has had a later revision than this daemon. */
    std::optional<Instant> m_behindSince;
    Revision m_laterRevision = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Apricothook
