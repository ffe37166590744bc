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
    , m_round(random.next())
{
}

FleetExchange::~FleetExchange()
{
    m_loop.cancel(m_greeting);
}

void FleetExchange::start()
{
    m_started = m_loop.now();
    greet();
}

void FleetExchange::greet()
{
    sendGreetings(greeted(), true, isStarting());
    const Duration pause = isStarting() ? Duration(StartingPause) : Duration(GreetingPause);
    m_greeting = m_loop.after(pause, [this] { greet(); });
}

std::vector<Endpoint> FleetExchange::greeted()
{
    // Which seeds live isn't known, and nothing can be done without one.
    if (m_directory.members().empty())
        return m_seeds;
    const auto &members = m_directory.members();
    const std::size_t chosen = m_random.next() % (members.size() + m_seeds.size());
    if (chosen < m_seeds.size())
        return {m_seeds[chosen]};
    const auto member
        = std::next(members.begin(), static_cast<std::ptrdiff_t>(chosen - m_seeds.size()));
    return {member->second.info.beaconAddress};
}

void FleetExchange::sendGreetings(const std::vector<Endpoint> &to, bool wantsAnswer, bool all)
{
    const std::size_t names = all ? m_directory.members().size() : MostOthers;
    const std::vector<MemberInfo> told = m_directory.sample(names, m_random, m_loop.now());
    std::size_t next = 0;
    do {
        const std::size_t end = std::min(next + MostOthers, told.size());
        MemberGossip greeting {m_sender.ownBrief(), wantsAnswer && next == 0, all, {}};
        greeting.others.assign(told.begin() + static_cast<std::ptrdiff_t>(next),
                               told.begin() + static_cast<std::ptrdiff_t>(end));
        m_sender.send(to, greeting);
        next = end;
    } while (next < told.size());
}

void FleetExchange::take(const MemberGossip &greeting)
{
    const Instant now = m_loop.now();
    m_directory.update(greeting.sender, now);
    for (const MemberInfo &other : greeting.others)
        m_directory.update(other, now);
    if (greeting.wantsReply)
        sendGreetings({greeting.sender.beaconAddress}, false, greeting.wantsFullList);
}

void FleetExchange::announce()
{
    std::vector<Endpoint> all;
    for (const auto &[id, member] : m_directory.members())
        all.push_back(member.info.beaconAddress);
    m_sender.send(all, MemberGossip {m_sender.ownBrief(), false, false, {}});
}

void FleetExchange::sendSummaries()
{
    const Instant now = m_loop.now();
    if (m_directory.cells() == 1 || now - m_summarySent < m_directory.summaryPause())
        return;
    m_summarySent = now;
    ++m_round;
    std::vector<Endpoint> receivers;
    for (std::uint32_t cell = 0; cell < m_directory.cells(); ++cell) {
        const KnownMember *next = cell == m_directory.ownCell() ? nullptr : nextOf(cell);
        if (next)
            receivers.push_back(next->info.beaconAddress);
    }
    m_sender.send(receivers, ownSummary());
}

const KnownMember *FleetExchange::nextOf(std::uint32_t cell) const
{
    std::vector<const KnownMember *> members = m_directory.membersOfCell(cell);
    std::erase_if(members, [this](const KnownMember *member) {
        return m_loop.now() - member->heard > FleetDirectory::KnownLimit;
    });
    return members.empty() ? nullptr : members[m_round % members.size()];
}

CellSummary FleetExchange::ownSummary()
{
    const Instant now = m_loop.now();
    CellSummary summary {
        .cell = m_directory.ownCell(),
        .cells = m_directory.cells(),
        .revision = m_sender.ownRevision(),
        .members = {m_sender.ownBrief()},
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
