#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
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

    /**
     * Behind a peer for so long, peers don't do: a reader on a small link can't give a dozen
     * daemons the entries of thousands of targets. Half of what a configuration may take.
     */
    static constexpr std::chrono::milliseconds PeerTime {1000};
    /** Between fetches, so that changes gather. */
    static constexpr std::chrono::milliseconds FetchPause {100};

    RevisionFollower(EventLoop &loop, PublishedState &published, LogWriter &log);

    /** `reads`: this daemon reads at the source itself, and waits a moment for it. */
    void setReads(bool reads) { m_reads = reads; }
    /** Peers have had a later revision for PeerTime and didn't give it. */
    bool isStuck() const;
    /** A peer has told its revision. */
    void note(const MemberInfo &peer, Revision revision);

private:
    void take(const MemberInfo &peer, const std::optional<ItemUpdate> &update);

    EventLoop &m_loop;
    PublishedState &m_published;
    LogWriter &m_log;
    bool m_reads = true;
    /** Since when a peer has had a later revision than this daemon. */
    std::optional<Instant> m_behindSince;
    Revision m_laterRevision = 0;
    Instant m_fetched {};
    /** What the fetcher's thread has posted may run after this has gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    /** Last: its thread uses the members above. */
    PeerItemFetcher m_fetcher;
};

} // namespace Apricothook
