#include <apricothook/dispatch/apricothook_grantor_role.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;
/**
 * Duplicates of a datagram arrive within seconds, and a daemon receives few messages a minute that
 * add units.
 */
constexpr std::size_t RememberedMessages = 64;
/** One hour: no caller waits longer, and the number stays small. */
constexpr std::int64_t LongestWaitMs = 3'600'000;

std::uint64_t wholeUnits(double units)
{
    return static_cast<std::uint64_t>(std::max(units, 0.0));
}

std::uint32_t millisecondsOf(Duration duration)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, LongestWaitMs));
}

} // namespace

std::string_view nameOf(GrantorChange change)
{
    switch (change) {
    case GrantorChange::TakenOver:
        return "taken-over";
    case GrantorChange::TakenEmpty:
        return "taken-empty";
    case GrantorChange::HandedOver:
        break;
    }
    return "handed-over";
}

GrantorRole::GrantorRole(LimitPeer self, LimitMessenger &messenger, GrantorListener &listener,
                         RandomSource &random)
    : m_self(std::move(self)), m_messenger(messenger), m_listener(listener), m_random(random)
{
}

void GrantorRole::setBudgets(const UnitBudgets &budgets, Instant now)
{
    std::map<std::uint64_t, Role> current;
    for (const auto &[limit, budget] : budgets) {
        const auto known = m_roles.find(limit);
        Role role = known == m_roles.end() ? Role() : std::move(known->second);
        role.budget = budget;
        if (role.state == State::Grantor)
            role.bucket.setBudget(role.budget, now);
        current.emplace(limit, std::move(role));
    }
    m_roles = std::move(current);
}

void GrantorRole::setBudget(std::uint64_t limit, const std::optional<UnitBudget> &budget,
                            bool knowsFleet, Instant now)
{
    if (!budget) {
        m_roles.erase(limit);
        return;
    }
    m_knowsFleet = knowsFleet;
    Role &role = m_roles[limit];
    role.budget = *budget;
    if (role.state == State::Grantor)
        role.bucket.setBudget(role.budget, now);
    review(limit, role, now);
}

void GrantorRole::setMembers(std::vector<GrantorCandidate> members,
                             std::optional<Instant> startedTogether)
{
    m_startedTogether = startedTogether;
    m_ranking.setMembers(std::move(members));
}

void GrantorRole::setLimitFraction(double limitFraction, Instant now)
{
    m_limitFraction = limitFraction;
    for (auto &[limit, role] : m_roles) {
        if (role.state == State::Grantor)
            role.bucket.setLimitFraction(limitFraction, now);
    }
}

bool GrantorRole::isGrantor(std::uint64_t limit) const
{
    const auto role = m_roles.find(limit);
    return role != m_roles.end() && role->second.state == State::Grantor;
}

void GrantorRole::handleStall(Instant now)
{
    const bool wasStalled = now - std::exchange(m_lastReview, now) > StallTimeout;
    if (!wasStalled)
        return;
    for (auto &[limit, role] : m_roles) {
        if (role.state != State::Grantor)
            continue;
        role.retainedUnits = role.bucket.takeAll(now);
        startClaim(limit, role, now);
    }
}

void GrantorRole::review(bool knowsFleet, Instant now)
{
    handleStall(now);
    m_knowsFleet = knowsFleet;
    for (auto &[limit, role] : m_roles)
        review(limit, role, now);
}

bool GrantorRole::ranksFirst(std::uint64_t limit) const
{
    const LimitPeer *first = m_ranking.highestRanked(limit);
    return first && first->member == m_self.member;
}

void GrantorRole::review(std::uint64_t limit, Role &role, Instant now)
{
    switch (role.state) {
    case State::NotGrantor:
        if (mayClaim(limit, role, now))
            startClaim(limit, role, now);
        return;
    case State::Claiming:
        if (now - role.stateSince >= ClaimTimeout)
            becomeGrantor(limit, role, 0, GrantorChange::TakenEmpty, now);
        else if (now - role.lastClaim >= ClaimInterval)
            sendClaim(limit, role, now);
        return;
    case State::Grantor:
        role.bucket.refill(now);
        // The daemon that ranks first may be a grantor as well, after a partition or if each daemon
        // knew only part of the fleet. It then hands over, or claims the limit from this daemon.
        if (!ranksFirst(limit) && now - role.lastClaim >= UnitBucket::LongestRefill)
            sendClaim(limit, role, now);
        return;
    }
}

bool GrantorRole::mayClaim(std::uint64_t limit, const Role &role, Instant now) const
{
    const bool reachesEnough = reachesFleet() || (m_limitFraction > 0 && now >= role.noClaimBefore);
    return ranksFirst(limit) && m_knowsFleet && reachesEnough;
}

bool GrantorRole::isAmongHighestRanked(std::uint64_t limit) const
{
    const std::vector<LimitPeer> ranks = m_ranking.ranked(limit);
    const auto end = ranks.begin()
        + static_cast<std::ptrdiff_t>(
                         std::min(ranks.size(), GrantorRanking::MaximumClaimReceivers));
    return std::find(ranks.begin(), end, m_self) != end;
}

std::optional<Instant> GrantorRole::nextReview() const
{
    std::optional<Instant> next;
    for (const auto &[limit, role] : m_roles) {
        if (role.state == State::Claiming)
            next = std::min(
                next.value_or(Instant::max()),
                std::min(role.lastClaim + ClaimInterval, role.stateSince + ClaimTimeout));
    }
    return next;
}

void GrantorRole::startClaim(std::uint64_t limit, Role &role, Instant now)
{
    role.state = State::Claiming;
    role.stateSince = now;
    role.claimId = m_random.next() | 1;
    role.pendingDenials.clear();
    for (const LimitPeer &peer : m_ranking.possibleGrantors(limit, m_self.member))
        role.pendingDenials.insert(peer.member);
    if (m_ranking.possibleGrantors(limit, m_self.member).empty())
        becomeGrantor(limit, role, 0, GrantorChange::TakenEmpty, now);
    else
        sendClaim(limit, role, now);
}

void GrantorRole::sendClaim(std::uint64_t limit, Role &role, Instant now)
{
    role.lastClaim = now;
    for (const LimitPeer &peer : m_ranking.possibleGrantors(limit, m_self.member))
        m_messenger.send(peer.address, GrantorClaim {m_self, role.claimId, limit, reachesFleet()});
}

void GrantorRole::becomeGrantor(std::uint64_t limit, Role &role, double level, GrantorChange change,
                                Instant now)
{
    // Units that accrued during the claim are for the requests that wait for its end. If the former
    // grantor is alive but unheard, both granted for that time; the budget allows for it.
    const std::chrono::duration<double> vacancy = now - vacantSince(role, now);
    role.state = State::Grantor;
    role.stateSince = now;
    role.bucket = UnitBucket(role.budget, now);
    role.bucket.setLimitFraction(m_limitFraction, now);
    const double accrued = vacancy.count() * role.bucket.perSecond();
    role.bucket.add(level + accrued + std::exchange(role.retainedUnits, 0), now);
    if (change == GrantorChange::TakenEmpty)
        role.bucket.add(role.budget.ungrantedUnits.value_or(0), now);
    m_listener.onGrantorChanged(limit, change, role.bucket.level());
}

bool GrantorRole::hasFleetJustStarted(Instant now) const
{
    // Later, another daemon may have granted units and died since.
    return m_startedTogether && now - *m_startedTogether <= LongestVacancy;
}

Instant GrantorRole::vacantSince(const Role &role, Instant now) const
{
    if (role.state != State::Claiming)
        return now;
    return hasFleetJustStarted(now) ? *m_startedTogether : role.stateSince;
}

void GrantorRole::handOver(const GrantorClaim &claim, Role &role, Instant now)
{
    const double level = role.bucket.takeAll(now);
    role.state = State::NotGrantor;
    role.stateSince = now;
    role.lastHandover = {m_random.next(), claim.claim, claim.limit, wholeUnits(level)};
    m_listener.onGrantorChanged(claim.limit, GrantorChange::HandedOver, level);
    m_messenger.send(claim.sender.address, role.lastHandover);
}

UnitsReply GrantorRole::answer(const UnitsRequest &request, Instant now)
{
    handleStall(now);
    UnitsReply reply;
    reply.member = m_self.member;
    reply.requestId = request.requestId;
    const auto found = m_roles.find(request.limit);
    if (found == m_roles.end())
        return reply;
    Role &role = found->second;
    const bool mayTakeOver = request.firstIsSilent && m_knowsFleet;
    if (role.state == State::NotGrantor && mayTakeOver && isAmongHighestRanked(request.limit))
        startClaim(request.limit, role, now);
    // A daemon that reaches few others leaves the limit to the grantor of the rest.
    if (role.state != State::Grantor || m_limitFraction <= 0) {
        reply.outcome
            = role.state == State::Claiming ? UnitsOutcome::Pending : UnitsOutcome::NotGrantor;
        if (const LimitPeer *first = m_ranking.highestRanked(request.limit);
            first && *first != m_self)
            reply.grantor = *first;
        return reply;
    }
    UnitBucket &bucket = role.bucket;
    const UnitDemand demand {static_cast<double>(request.units),
                             request.reservedThousandths / Thousandths};
    const bool isGranted = request.units == 0 || bucket.tryTake(demand, now);
    reply.outcome = isGranted ? UnitsOutcome::Granted : UnitsOutcome::Refused;
    if (isGranted)
        reply.units = request.units
            + wholeUnits(bucket.takePrefetch(static_cast<double>(request.prefetch), now));
    else
        reply.waitMs = millisecondsOf(bucket.timeUntilAvailable(demand, now));
    reply.level = wholeUnits(bucket.level());
    reply.bucket = wholeUnits(bucket.size());
    reply.perSecond = wholeUnits(bucket.perSecond());
    return reply;
}

void GrantorRole::take(const GrantorClaim &claim, Instant now)
{
    handleStall(now);
    const auto found = m_roles.find(claim.limit);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    // After a partition, a grantor that doesn't reach the whole fleet yet could grant only a
    // fraction of the limit.
    const bool reachesLess = role.state == State::Grantor && claim.reachesFleet && !reachesFleet();
    if (reachesLess)
        role.noClaimBefore = now + ReclaimDelay;
    if (reachesLess || m_ranking.ranksBefore(claim.sender, m_self, claim.limit))
        yield(claim, role, now);
    else
        claimFrom(claim, role, now);
}

void GrantorRole::yield(const GrantorClaim &claim, Role &role, Instant now)
{
    if (role.state == State::Grantor) {
        handOver(claim, role, now);
        return;
    }
    // Otherwise both would start with an empty bucket and fill two.
    role.state = State::NotGrantor;
    role.retainedUnits = 0;
    if (role.lastHandover.claim == claim.claim)
        m_messenger.send(claim.sender.address, role.lastHandover);
    else
        deny(claim);
}

void GrantorRole::deny(const GrantorClaim &claim)
{
    m_messenger.send(claim.sender.address, GrantorDenial {m_self.member, claim.claim, claim.limit});
}

void GrantorRole::take(const GrantorDenial &denial, Instant now)
{
    const auto found = m_roles.find(denial.limit);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    if (role.state != State::Claiming || role.claimId != denial.claim)
        return;
    role.pendingDenials.erase(denial.member);
    if (role.pendingDenials.empty() && hasFleetJustStarted(now))
        becomeGrantor(denial.limit, role, 0, GrantorChange::TakenEmpty, now);
}

void GrantorRole::claimFrom(const GrantorClaim &claim, Role &role, Instant now)
{
    if (role.state == State::NotGrantor && mayClaim(claim.limit, role, now))
        startClaim(claim.limit, role, now);
    if (role.state == State::NotGrantor)
        deny(claim);
    // Two daemons that disagree on the ranking must not answer each other without a pause.
    if (role.state == State::NotGrantor || now - role.lastClaimAnswer < ClaimInterval)
        return;
    role.lastClaimAnswer = now;
    m_messenger.send(claim.sender.address,
                     GrantorClaim {m_self, role.claimId, claim.limit, reachesFleet()});
}

bool GrantorRole::isNew(std::uint64_t message)
{
    if (std::ranges::find(m_applied, message) != m_applied.end())
        return false;
    m_applied.push_back(message);
    if (m_applied.size() > RememberedMessages)
        m_applied.pop_front();
    return true;
}

void GrantorRole::take(const GrantorHandover &handover, Instant now)
{
    const auto found = m_roles.find(handover.limit);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    if (handover.claim != role.claimId || !isNew(handover.handover))
        return;
    const auto level = static_cast<double>(handover.level);
    if (role.state == State::Grantor)
        role.bucket.add(level, now);
    else if (role.state == State::Claiming)
        becomeGrantor(handover.limit, role, level, GrantorChange::TakenOver, now);
    // A daemon that has yielded in the meantime drops the units; the limit's next grantor starts
    // empty.
}

void GrantorRole::take(const UnitsReturn &returned, Instant now)
{
    const auto found = m_roles.find(returned.limit);
    // Units of a limit that has another grantor now are lost.
    if (found == m_roles.end() || found->second.state != State::Grantor || !isNew(returned.id))
        return;
    found->second.bucket.add(static_cast<double>(returned.units), now);
}

} // namespace Apricothook
