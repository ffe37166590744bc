#include <apricothook/serving/apricothook_limit_exchange.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

GrantorCandidate candidateOf(const MemberInfo &brief)
{
    return {{memberHash(brief.member), brief.beaconAddress}, brief.capacity, brief.isLeaving};
}

} // namespace

LimitExchange::LimitExchange(EventLoop &loop, const FleetDirectory &directory,
                             const FleetSize &size, PeerSender &sender, Gateway &gateway,
                             RandomSource &random, const std::vector<Endpoint> &seeds)
    : m_loop(loop)
    , m_directory(directory)
    , m_size(size)
    , m_sender(sender)
    , m_gateway(gateway)
    , m_random(random)
    , m_seeds(seeds)
    , m_started(loop.now())
{
    m_gateway.setLimitMessenger(*this);
}

void LimitExchange::tick()
{
    const Instant now = m_loop.now();
    const Endpoint own = m_sender.ownBrief().beaconAddress;
    CustomerRateLimiter &limits = m_gateway.limits();
    // Without the size a daemon that nobody has reached for long would take itself for the fleet.
    const std::size_t known = m_directory.knownCount(now);
    const std::size_t daemons = std::max(known, m_size.daemons().value_or(known));
    limits.setReachableFraction(
        limitFractionOf(m_reach.reachableFraction(knownMembers().size(), daemons, now)), now);
    limits.setFleet({.members = candidates(),
                     .known = daemons,
                     .isComplete = m_directory.hasDiscoveredFleet(m_seeds, own, now),
                     .startedTogether = startedTogether()},
                    now);
    sendProbes();
    m_gateway.scheduleLimitReview();
}

std::optional<Instant> LimitExchange::startedTogether() const
{
    const Incarnation own = m_sender.ownBrief().process;
    const auto isOlder = [own](const auto &entry) {
        return entry.second.info.process.value() + StartedTogether.count() < own.value();
    };
    if (std::ranges::any_of(m_directory.members(), isOlder))
        return std::nullopt;
    return m_started;
}

std::vector<GrantorCandidate> LimitExchange::candidates() const
{
    std::vector<GrantorCandidate> candidates {candidateOf(m_sender.ownBrief())};
    for (const auto &[id, member] : m_directory.members()) {
        if (m_directory.isLive(member, m_loop.now()))
            candidates.push_back(candidateOf(member.info));
    }
    return candidates;
}

std::vector<const KnownMember *> LimitExchange::knownMembers() const
{
    std::vector<const KnownMember *> known;
    for (const auto &[id, member] : m_directory.members()) {
        const bool isRecent = m_loop.now() - member.heard <= FleetDirectory::KnownLimit;
        if (isRecent && !member.info.isLeaving)
            known.push_back(&member);
    }
    return known;
}

void LimitExchange::sendProbes()
{
    if (!m_gateway.limits().isCandidate())
        return;
    const Endpoint own = m_sender.ownBrief().beaconAddress;
    std::vector<const KnownMember *> known = knownMembers();
    for (std::size_t sent = 0; sent < ReachabilityEstimator::ProbesPerRound && !known.empty();
         ++sent) {
        const std::size_t drawn = m_random.next() % known.size();
        const ReachProbe probe {own, m_random.next()};
        m_reach.sent(probe.probe, m_loop.now());
        m_sender.send(known[drawn]->info.beaconAddress, probe);
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(drawn));
    }
}

void LimitExchange::take(const ReachProbe &probe)
{
    m_sender.send(probe.sender, ReachReply {probe.probe});
}

void LimitExchange::take(const ReachReply &answer)
{
    m_reach.answered(answer.probe);
}

void LimitExchange::send(const Endpoint &to, const LimitMessage &message)
{
    std::visit([&](const auto &one) { m_sender.send(to, PeerDatagram(one)); }, message);
}

} // namespace Apricothook
