#include <apricothook/serving/apricothook_fleet_exchange.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

FleetExchange::FleetExchange(EventLoop &loop, FleetDirectory &directory, PeerSender &sender,
                             RandomSource &random, std::vector<Endpoint> seeds)
    : m_loop(loop)
    , m_directory(directory)
    , m_sender(sender)
    , m_random(random)
    , m_seeds(std::move(seeds))
    , m_roundRobinIndex(random.next())
{
}

FleetExchange::~FleetExchange()
{
    m_loop.cancel(m_gossipTimer);
}

void FleetExchange::start()
{
    m_started = m_loop.now();
    gossip();
}

void FleetExchange::gossip()
{
    sendGossip(gossipReceivers(), true, isStarting());
    const Duration interval
        = isStarting() ? Duration(StartupGossipInterval) : Duration(GossipInterval);
    m_gossipTimer = m_loop.after(interval, [this] { gossip(); });
}

std::vector<Endpoint> FleetExchange::gossipReceivers()
{
    // Without known members, a daemon can join only through a seed, and any seed may be down.
    if (m_directory.members().empty())
        return m_seeds;
    const auto &members = m_directory.members();
    const std::size_t chosen = m_random.next() % (members.size() + m_seeds.size());
    if (chosen < m_seeds.size())
        return {m_seeds[chosen]};
    const auto member
        = std::next(members.begin(), static_cast<std::ptrdiff_t>(chosen - m_seeds.size()));
    return {member->second.info.peerAddress};
}

void FleetExchange::sendGossip(const std::vector<Endpoint> &to, bool wantsReply, bool all)
{
    const std::size_t count = all ? m_directory.members().size() : MaximumGossipMembers;
    const std::vector<MemberInfo> members = m_directory.sample(count, m_random, m_loop.now());
    std::size_t next = 0;
    do {
        const std::size_t end = std::min(next + MaximumGossipMembers, members.size());
        MemberGossip gossip {m_sender.ownInfo(), wantsReply && next == 0, all, {}};
        gossip.others.assign(members.begin() + static_cast<std::ptrdiff_t>(next),
                             members.begin() + static_cast<std::ptrdiff_t>(end));
        m_sender.send(to, gossip);
        next = end;
    } while (next < members.size());
}

void FleetExchange::take(const MemberGossip &gossip)
{
    const Instant now = m_loop.now();
    m_directory.update(gossip.sender, now);
    for (const MemberInfo &other : gossip.others)
        m_directory.update(other, now);
    if (gossip.wantsReply)
        sendGossip({gossip.sender.peerAddress}, false, gossip.wantsFullList);
}

void FleetExchange::announce()
{
    std::vector<Endpoint> all;
    for (const auto &[id, member] : m_directory.members())
        all.push_back(member.info.peerAddress);
    m_sender.send(all, MemberGossip {m_sender.ownInfo(), false, false, {}});
}

void FleetExchange::sendSummaries()
{
    const Instant now = m_loop.now();
    if (m_directory.cells() == 1 || now - m_lastSummary < m_directory.summaryPause())
        return;
    m_lastSummary = now;
    ++m_roundRobinIndex;
    std::vector<Endpoint> receivers;
    for (std::uint32_t cell = 0; cell < m_directory.cells(); ++cell) {
        const KnownMember *next = cell == m_directory.ownCell() ? nullptr : nextReceiver(cell);
        if (next)
            receivers.push_back(next->info.peerAddress);
    }
    m_sender.send(receivers, ownSummary());
}

const KnownMember *FleetExchange::nextReceiver(std::uint32_t cell) const
{
    std::vector<const KnownMember *> members = m_directory.membersOfCell(cell);
    std::erase_if(members, [this](const KnownMember *member) {
        return m_loop.now() - member->heard > FleetDirectory::KnownLimit;
    });
    return members.empty() ? nullptr : members[m_roundRobinIndex % members.size()];
}

CellSummary FleetExchange::ownSummary()
{
    const Instant now = m_loop.now();
    CellSummary summary {
        .cell = m_directory.ownCell(),
        .cells = m_directory.cells(),
        .revision = m_sender.ownRevision(),
        .members = {m_sender.ownInfo()},
        .view = m_sender.ownView(),
    };
    for (const KnownMember *member : m_directory.membersOfCell(summary.cell)) {
        if (m_directory.isLive(*member, now))
            summary.members.push_back(FleetDirectory::advertisedInfo(*member, now));
    }
    return summary;
}

void FleetExchange::take(const CellSummary &summary)
{
    const Instant now = m_loop.now();
    for (const MemberInfo &member : summary.members)
        m_directory.update(member, now);
    m_directory.adoptCellCount(summary.cells, now);
}

} // namespace Apricothook
