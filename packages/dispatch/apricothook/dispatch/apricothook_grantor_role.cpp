#include <apricothook/dispatch/apricothook_grantor_role.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;
/** A datagram that comes twice comes within seconds; a daemon gets few handovers in a minute. */
constexpr std::size_t RememberedHandovers = 64;
/** An hour: no caller waits longer, and the number stays small. */
constexpr std::int64_t LongestWaitMs = 3'600'000;

std::uint64_t whole(double units)
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

void GrantorRole::setCustomers(const std::vector<CustomerRule> &customers,
                               const FleetBounds &bounds, Instant now)
{
    std::map<std::uint64_t, Role> kept;
    for (const CustomerRule &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const std::uint64_t number = customerHash(customer.name);
        const auto known = m_roles.find(number);
        Role role = known == m_roles.end() ? Role() : std::move(known->second);
        role.budget = budgetOf(customer, bounds);
        if (role.state == State::Here)
            role.bucket.setBudget(role.budget, now);
        kept.emplace(number, std::move(role));
    }
    m_roles = std::move(kept);
}

void GrantorRole::setMembers(std::vector<GrantorCandidate> members,
                             std::optional<Instant> startedTogether)
{
    m_startedTogether = startedTogether;
    m_order.setMembers(std::move(members));
}

void GrantorRole::setReachableFraction(double part, Instant now)
{
    m_part = part;
    for (auto &[customer, role] : m_roles) {
        if (role.state == State::Here)
            role.bucket.setPart(part, now);
    }
}

bool GrantorRole::isGrantor(std::uint64_t customer) const
{
    const auto role = m_roles.find(customer);
    return role != m_roles.end() && role->second.state == State::Here;
}

void GrantorRole::noteStandstill(Instant now)
{
    const bool stoodStill = now - std::exchange(m_reviewed, now) > StandstillTime;
    if (!stoodStill)
        return;
    for (auto &[customer, role] : m_roles) {
        if (role.state != State::Here)
            continue;
        role.kept = role.bucket.takeAll(now);
        startClaim(customer, role, now);
    }
}

void GrantorRole::review(bool knowsFleet, Instant now)
{
    noteStandstill(now);
    m_knowsFleet = knowsFleet;
    for (auto &[customer, role] : m_roles)
        review(customer, role, now);
}

bool GrantorRole::isFirst(std::uint64_t customer) const
{
    const LimitPeer *first = m_order.first(customer);
    return first && first->member == m_self.member;
}

void GrantorRole::review(std::uint64_t customer, Role &role, Instant now)
{
    switch (role.state) {
    case State::Elsewhere:
        if (mayClaim(customer, role, now))
            startClaim(customer, role, now);
        return;
    case State::Claiming:
        if (now - role.since >= ClaimTime)
            enter(customer, role, 0, GrantorChange::TakenEmpty, now);
        else if (now - role.claimed >= ClaimPause)
            sendClaim(customer, role, now);
        return;
    case State::Here:
        role.bucket.refill(now);
        // The first may be a grantor as well, after a partition or where each knew a part of the
        // fleet; then it hands over. If it isn't yet, it claims from this daemon in its turn.
        if (!isFirst(customer) && now - role.claimed >= UnitBucket::LongestRefill)
            sendClaim(customer, role, now);
        return;
    }
}

bool GrantorRole::mayClaim(std::uint64_t customer, const Role &role, Instant now) const
{
    const bool reachesEnough = reachesFleet() || (m_part > 0 && now >= role.restsUntil);
    return isFirst(customer) && m_knowsFleet && reachesEnough;
}

bool GrantorRole::isAmongFirst(std::uint64_t customer) const
{
    const std::vector<LimitPeer> ranks = m_order.ranks(customer);
    const auto end = ranks.begin()
        + static_cast<std::ptrdiff_t>(std::min(ranks.size(), GrantorOrder::MostAskedToHandOver));
    return std::find(ranks.begin(), end, m_self) != end;
}

std::optional<Instant> GrantorRole::nextReview() const
{
    std::optional<Instant> next;
    for (const auto &[customer, role] : m_roles) {
        if (role.state == State::Claiming)
            next = std::min(next.value_or(Instant::max()),
                            std::min(role.claimed + ClaimPause, role.since + ClaimTime));
    }
    return next;
}

void GrantorRole::startClaim(std::uint64_t customer, Role &role, Instant now)
{
    role.state = State::Claiming;
    role.since = now;
    role.claim = m_random.next() | 1;
    role.asked.clear();
    for (const LimitPeer &peer : m_order.incumbents(customer, m_self.member))
        role.asked.insert(peer.member);
    if (m_order.incumbents(customer, m_self.member).empty())
        enter(customer, role, 0, GrantorChange::TakenEmpty, now);
    else
        sendClaim(customer, role, now);
}

void GrantorRole::sendClaim(std::uint64_t customer, Role &role, Instant now)
{
    role.claimed = now;
    for (const LimitPeer &peer : m_order.incumbents(customer, m_self.member))
        m_messenger.send(peer.address, GrantorClaim {m_self, role.claim, customer, reachesFleet()});
}

void GrantorRole::enter(std::uint64_t customer, Role &role, double level, GrantorChange change,
                        Instant now)
{
    // What came in during the claim is for those who wait for its end. Should the former grantor
    // live unheard, both granted for that time; the budget has room for it.
    const std::chrono::duration<double> vacancy = now - vacantSince(role, now);
    role.state = State::Here;
    role.since = now;
    role.bucket = UnitBucket(role.budget, now);
    role.bucket.setPart(m_part, now);
    const double missed = vacancy.count() * role.bucket.perSecond();
    role.bucket.add(level + missed + std::exchange(role.kept, 0), now);
    m_listener.onGrantorChanged(customer, change, role.bucket.level());
}

bool GrantorRole::isAllNew(Instant now) const
{
    // Later, another may have granted and died since.
    return m_startedTogether && now - *m_startedTogether <= LongestVacancy;
}

Instant GrantorRole::vacantSince(const Role &role, Instant now) const
{
    if (role.state != State::Claiming)
        return now;
    return isAllNew(now) ? *m_startedTogether : role.since;
}

void GrantorRole::handOver(const GrantorClaim &claim, Role &role, Instant now)
{
    const double level = role.bucket.takeAll(now);
    role.state = State::Elsewhere;
    role.since = now;
    role.sent = {m_random.next(), claim.claim, claim.customer, whole(level)};
    m_listener.onGrantorChanged(claim.customer, GrantorChange::HandedOver, level);
    m_messenger.send(claim.sender.address, role.sent);
}

UnitsReply GrantorRole::answer(const UnitsRequest &ask, Instant now)
{
    noteStandstill(now);
    UnitsReply answer;
    answer.member = m_self.member;
    answer.requestId = ask.requestId;
    const auto found = m_roles.find(ask.customer);
    if (found == m_roles.end())
        return answer;
    Role &role = found->second;
    const bool mayTakeOver = ask.firstIsSilent && m_knowsFleet;
    if (role.state == State::Elsewhere && mayTakeOver && isAmongFirst(ask.customer))
        startClaim(ask.customer, role, now);
    // One that reaches few others leaves the customer to the grantor of the rest.
    if (role.state != State::Here || m_part <= 0) {
        answer.outcome
            = role.state == State::Claiming ? UnitsOutcome::Pending : UnitsOutcome::NotGrantor;
        if (const LimitPeer *first = m_order.first(ask.customer); first && *first != m_self)
            answer.grantor = *first;
        return answer;
    }
    UnitBucket &bucket = role.bucket;
    const UnitDemand claim {static_cast<double>(ask.units), ask.reservedThousandths / Thousandths};
    const bool isGranted = ask.units == 0 || bucket.tryTake(claim, now);
    answer.outcome = isGranted ? UnitsOutcome::Granted : UnitsOutcome::Refused;
    if (isGranted)
        answer.units = ask.units + whole(bucket.takeAhead(static_cast<double>(ask.prefetch), now));
    else
        answer.waitMs = millisecondsOf(bucket.timeUntil(claim, now));
    answer.level = whole(bucket.level());
    answer.bucket = whole(bucket.size());
    answer.perSecond = whole(bucket.perSecond());
    return answer;
}

void GrantorRole::take(const GrantorClaim &claim, Instant now)
{
    noteStandstill(now);
    const auto found = m_roles.find(claim.customer);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    // After a partition, the one that hasn't reached the whole fleet yet might grant but a part.
    const bool reachesLess = role.state == State::Here && claim.reachesFleet && !reachesFleet();
    if (reachesLess)
        role.restsUntil = now + RestTime;
    if (reachesLess || m_order.isBefore(claim.sender, m_self, claim.customer))
        yield(claim, role, now);
    else
        claimFrom(claim, role, now);
}

void GrantorRole::yield(const GrantorClaim &claim, Role &role, Instant now)
{
    if (role.state == State::Here) {
        handOver(claim, role, now);
        return;
    }
    // Both would start from an empty bucket, and fill two.
    role.state = State::Elsewhere;
    role.kept = 0;
    if (role.sent.claim == claim.claim)
        m_messenger.send(claim.sender.address, role.sent);
    else
        deny(claim);
}

void GrantorRole::deny(const GrantorClaim &claim)
{
    m_messenger.send(claim.sender.address,
                     GrantorDenial {m_self.member, claim.claim, claim.customer});
}

void GrantorRole::take(const GrantorDenial &denial, Instant now)
{
    const auto found = m_roles.find(denial.customer);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    if (role.state != State::Claiming || role.claim != denial.claim)
        return;
    role.asked.erase(denial.member);
    if (role.asked.empty() && isAllNew(now))
        enter(denial.customer, role, 0, GrantorChange::TakenEmpty, now);
}

void GrantorRole::claimFrom(const GrantorClaim &claim, Role &role, Instant now)
{
    if (role.state == State::Elsewhere && mayClaim(claim.customer, role, now))
        startClaim(claim.customer, role, now);
    if (role.state == State::Elsewhere)
        deny(claim);
    // Two that differ about who goes first don't answer each other without a pause.
    if (role.state == State::Elsewhere || now - role.answered < ClaimPause)
        return;
    role.answered = now;
    m_messenger.send(claim.sender.address,
                     GrantorClaim {m_self, role.claim, claim.customer, reachesFleet()});
}

bool GrantorRole::isNew(std::uint64_t handover)
{
    if (std::ranges::find(m_taken, handover) != m_taken.end())
        return false;
    m_taken.push_back(handover);
    if (m_taken.size() > RememberedHandovers)
        m_taken.pop_front();
    return true;
}

void GrantorRole::take(const GrantorHandover &handover, Instant now)
{
    const auto found = m_roles.find(handover.customer);
    if (found == m_roles.end())
        return;
    Role &role = found->second;
    if (handover.claim != role.claim || !isNew(handover.handover))
        return;
    const auto level = static_cast<double>(handover.level);
    if (role.state == State::Here)
        role.bucket.add(level, now);
    else if (role.state == State::Claiming)
        enter(handover.customer, role, level, GrantorChange::TakenOver, now);
    // Whoever has yielded meanwhile loses it; the customer's next grantor starts empty.
}

} // namespace Apricothook
