#include <apricothook/serving/apricothook_revision_follower.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

namespace Apricothook {

RevisionFollower::RevisionFollower(EventLoop &loop, PublishedState &published, LogWriter &log)
    : m_loop(loop)
    , m_published(published)
    , m_log(log)
    , m_fetcher([this, alive = std::weak_ptr(m_alive)](ItemUpdate update) {
        m_loop.post([this, alive, update = std::move(update)] {
            if (!alive.expired())
                m_published.apply(update);
        });
    })
{
}

void RevisionFollower::note(const MemberBrief &peer, Revision revision)
{
    const Revision own = m_published.replica().revision();
    if (own >= m_laterRevision)
        m_behindSince.reset();
    if (revision <= own)
        return;
    const Instant now = m_loop.now();
    if (!m_behindSince) {
        m_behindSince = now;
        m_laterRevision = revision;
    }
    if (now - *m_behindSince < OwnSourceTime)
        return;
    if (!m_fetcher.fetch(peer.itemAddress, own))
        return;
    m_log.write(LogEvent(FleetviewEvent::ItemsFromPeer)
                    .with("peer", peer.member.text())
                    .with("own_revision", own)
                    .with("peer_revision", revision));
}

} // namespace Apricothook
