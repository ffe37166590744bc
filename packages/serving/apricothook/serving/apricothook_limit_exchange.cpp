#include <apricothook/serving/apricothook_limit_exchange.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

GrantorCandidate candidateOf(const MemberInfo &info)
{
    return {{memberHash(info.member), info.peerAddress}, info.capacity, info.isLeaving};
}

} // namespace

LimitExchange::LimitExchange(EventLoop &loop, const FleetDirectory &directory,
                             const FleetSize &size, PeerSender &sender, Gateway &gateway,
                             RandomSource &random, const std::vector<Endpoint> &seeds,
                             bool isFirstStart)
    : m_loop(loop)
    , m_directory(directory)
    , m_fleetSize(size)
    , m_sender(sender)
    , m_gateway(gateway)
    , m_random(random)
    , m_seeds(seeds)
    , m_started(loop.now())
{
    m_gateway.setLimitMessenger(*this);
    m_gateway.joinFleet(isFirstStart);
}

void LimitExchange::tick()
{
    const Instant now = m_loop.now();
    const Endpoint own = m_sender.ownInfo().peerAddress;
    FleetRateLimiter &limits = m_gateway.limits();
    // The directory alone would let a daemon that has been unreachable for long believe that it is
    // the whole fleet.
    const std::size_t known = m_directory.knownCount(now);
    const std::size_t daemons = std::max(known, m_fleetSize.daemons().value_or(known));
    const double fraction
        = limitFractionOf(m_reachability.reachableFraction(knownMembers().size(), daemons, now));
    limits.setLimitFraction(fraction, now);
    const bool knowsFleet = m_directory.hasDiscoveredFleet(m_seeds, own, now);
    limits.setFleet({.members = candidates(),
                     .known = daemons,
                     .isComplete = knowsFleet,
                     .startedTogether = startedTogether()},
                    now);
    sendProbes();
    const std::vector<LiveDaemon> live = liveDaemons();
    m_gateway.suspects().review(live, knowsFleet, fraction >= 1);
    m_gateway.streams().review(live, knowsFleet);
    m_gateway.scheduleLimitReview();
}

std::optional<Instant> LimitExchange::startedTogether() const
{
    const Incarnation own = m_sender.ownInfo().process;
    const auto isOlder = [own](const auto &entry) {
        return entry.second.info.process.value() + StartTolerance.count() < own.value();
    };
    if (std::ranges::any_of(m_directory.members(), isOlder))
        return std::nullopt;
    return m_started;
}

std::vector<GrantorCandidate> LimitExchange::candidates() const
{
    std::vector<GrantorCandidate> candidates {candidateOf(m_sender.ownInfo())};
    for (const auto &[id, member] : m_directory.members()) {
        if (m_directory.isLive(member, m_loop.now()))
            candidates.push_back(candidateOf(member.info));
    }
    return candidates;
}

std::vector<LiveDaemon> LimitExchange::liveDaemons() const
{
    std::vector<LiveDaemon> daemons;
    for (const auto &[id, member] : m_directory.members()) {
        const MemberInfo &info = member.info;
        if (m_directory.isLive(member, m_loop.now()))
            daemons.push_back({{memberHash(info.member), info.peerAddress}, info.process.value()});
    }
    return daemons;
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
    const Endpoint own = m_sender.ownInfo().peerAddress;
    std::vector<const KnownMember *> known = knownMembers();
    for (std::size_t sent = 0; sent < ReachabilityEstimator::ProbesPerRound && !known.empty();
         ++sent) {
        const std::size_t index = m_random.next() % known.size();
        const ReachProbe probe {own, m_random.next()};
        m_reachability.sent(probe.probe, m_loop.now());
        m_sender.send(known[index]->info.peerAddress, probe);
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void LimitExchange::take(const ReachProbe &probe)
{
    m_sender.send(probe.sender, ReachReply {probe.probe});
}

void LimitExchange::take(const ReachReply &reply)
{
    m_reachability.answered(reply.probe);
}

void LimitExchange::send(const Endpoint &to, const LimitMessage &message)
{
    std::visit([&](const auto &one) { m_sender.send(to, PeerDatagram(one)); }, message);
}

void LimitExchange::broadcast(const LimitMessage &message)
{
    std::vector<Endpoint> receivers;
    for (const KnownMember *member : knownMembers())
        receivers.push_back(member->info.peerAddress);
    std::visit([&](const auto &one) { m_sender.send(receivers, PeerDatagram(one)); }, message);
}

} // namespace Apricothook
