#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_peer_item_fetcher.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** Fetches published items from peers if this daemon's own source doesn't deliver them in time. */
class RevisionFollower
{
public:
    /** Time for the own source to deliver a peer's later revision before the peer is queried. */
    static constexpr std::chrono::milliseconds OwnSourceTimeout {250};

    /**
     * Time for the peers to deliver a later revision. A reader on a small link can't send the
     * entries of thousands of targets to a dozen daemons. Half of the time within which a
     * configuration must be in force.
     */
    static constexpr std::chrono::milliseconds PeerTimeout {1000};
    /** Minimum interval of fetches; batches changes. */
    static constexpr std::chrono::milliseconds FetchInterval {100};

    RevisionFollower(EventLoop &loop, PublishedState &published, LogWriter &log);

    /** If `reads`, this daemon reads at the source and waits OwnSourceTimeout for it. */
    void setReadsSource(bool reads) { m_readsSource = reads; }
    /** Peers have had a later revision for PeerTimeout and have not delivered it. */
    bool isStuck() const;
    /** To be called when a peer reports its revision. */
    void recordPeerRevision(const MemberInfo &peer, Revision revision);

private:
    void applyFetched(const FetchedItems &fetched);

    EventLoop &m_loop;
    PublishedState &m_published;
    LogWriter &m_log;
    bool m_readsSource = true;
    /** When a peer first reported a later revision than this daemon's. */
    std::optional<Instant> m_behindSince;
    Revision m_peerRevision = 0;
    Instant m_lastFetch {};
    /** Guards callbacks that the fetcher's thread posted and that run after destruction. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    /** Declared last, as its thread uses the members above. */
    PeerItemFetcher m_fetcher;
};

} // namespace Apricothook
