#include <apricothook/serving/apricothook_revision_follower.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

namespace Apricothook {

RevisionFollower::RevisionFollower(EventLoop &loop, PublishedState &published, LogWriter &log)
    : m_loop(loop)
    , m_published(published)
    , m_log(log)
    , m_fetcher([this, alive = std::weak_ptr(m_alive)](const FetchedItems &fetched) {
        m_loop.post([this, alive, fetched] {
            if (!alive.expired())
                applyFetched(fetched);
        });
    })
{
}

void RevisionFollower::applyFetched(const FetchedItems &fetched)
{
    const std::optional<ItemUpdate> &update = fetched.update;
    const Revision before = m_published.replica().revision();
    if (update)
        m_published.apply(*update);
    m_log.write(LogEvent(update ? FleetviewEvent::ItemsFromPeer : FleetviewEvent::PeerItemsFailed)
                    .with("peer", fetched.peer.member.text())
                    .with("own_revision", before)
                    .with("peer_revision", update ? update->revision : m_peerRevision)
                    .with("cause", std::string(nameOf(fetched.record.end)))
                    .with("bytes", fetched.record.bytes)
                    .with("took_ms", fetched.record.took));
}

bool RevisionFollower::isStuck() const
{
    return m_behindSince && m_published.replica().revision() < m_peerRevision
        && m_loop.now() - *m_behindSince > PeerTimeout;
}

void RevisionFollower::recordPeerRevision(const MemberInfo &peer, Revision revision)
{
    const Revision own = m_published.replica().revision();
    if (own >= m_peerRevision)
        m_behindSince.reset();
    if (revision <= own)
        return;
    const Instant now = m_loop.now();
    if (!m_behindSince) {
        m_behindSince = now;
        m_peerRevision = revision;
    }
    if (m_readsSource && now - *m_behindSince < OwnSourceTimeout)
        return;
    if (now - m_lastFetch < FetchInterval || !m_fetcher.fetch(peer, own))
        return;
    m_lastFetch = now;
}

} // namespace Apricothook
