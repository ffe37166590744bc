#include <apricothook/serving/apricothook_fleet_exchange.hpp>

#include <numeric>
#include <utility>

namespace Apricothook {

FleetExchange::FleetExchange(EventLoop &loop, FleetDirectory &directory, PeerSender &sender,
                             CustomerAllowance &customers, RandomSource &random,
                             std::vector<Endpoint> seeds)
    : m_loop(loop)
    , m_directory(directory)
    , m_sender(sender)
    , m_customers(customers)
    , m_random(random)
    , m_seeds(std::move(seeds))
    , m_round(random.next())
{
}

FleetExchange::~FleetExchange()
{
    m_loop.cancel(m_greeting);
}

void FleetExchange::start(std::function<std::vector<CustomerRate>(std::size_t most)> ownRates)
{
    m_ownRates = std::move(ownRates);
    m_started = m_loop.now();
    m_useCounted = m_started;
    greet();
}

void FleetExchange::greet()
{
    m_sender.send(greeted(), ownGreeting(true));
    const bool isStarting = m_loop.now() - m_started < StartingTime;
    const Duration pause = isStarting ? Duration(StartingPause) : Duration(GreetingPause);
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
    return {member->second.brief.beaconAddress};
}

Greeting FleetExchange::ownGreeting(bool wantsAnswer)
{
    return {m_sender.ownBrief(), wantsAnswer,
            m_directory.sample(MostOthers, m_random, m_loop.now())};
}

void FleetExchange::take(const Greeting &greeting)
{
    const Instant now = m_loop.now();
    m_directory.take(greeting.sender, now);
    for (const MemberBrief &other : greeting.others)
        m_directory.take(other, now);
    if (greeting.wantsAnswer)
        m_sender.send(greeting.sender.beaconAddress, ownGreeting(false));
}

void FleetExchange::announce()
{
    std::vector<Endpoint> all;
    for (const auto &[id, member] : m_directory.members())
        all.push_back(member.brief.beaconAddress);
    m_sender.send(all, Greeting {m_sender.ownBrief(), false, {}});
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
            receivers.push_back(next->brief.beaconAddress);
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
        .rates = m_ownRates(MostRates),
    };
    for (const KnownMember *member : m_directory.membersOfCell(summary.cell)) {
        if (m_directory.isLive(*member, now))
            summary.members.push_back(FleetDirectory::told(*member, now));
    }
    return summary;
}

void FleetExchange::take(const CellSummary &summary)
{
    const Instant now = m_loop.now();
    for (const MemberBrief &member : summary.members)
        m_directory.take(member, now);
    // A sender with another number of cells counts another set of members; it will agree soon.
    const bool isOther = summary.cell != m_directory.ownCell();
    if (summary.cells == m_directory.cells() && isOther)
        m_otherCells.note(summary.cell, summary.rates, now);
}

void FleetExchange::countUseOfOtherCells(const std::vector<RecentUse> &own)
{
    const Instant now = m_loop.now();
    const double seconds = std::chrono::duration<double>(now - m_useCounted).count();
    m_useCounted = now;
    if (m_directory.cells() == 1) {
        m_customers.countElsewhere({});
        return;
    }
    // What was heard with another number of cells, or too long ago, tells nothing of now.
    m_otherCells.forget(m_directory.cells(), m_directory.otherCellLimit(), now);
    const CellWeights weights = m_directory.weights(now);
    const std::uint32_t ownDaemons = weights.weights[weights.own];
    const std::uint32_t all
        = std::accumulate(weights.weights.begin(), weights.weights.end(), std::uint32_t {0});
    const CellBalance balance {ownDaemons, all - ownDaemons};
    m_customers.countElsewhere(m_otherCells.count(own, balance, seconds));
}

} // namespace Apricothook
