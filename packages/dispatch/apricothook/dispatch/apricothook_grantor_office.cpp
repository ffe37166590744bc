#include <apricothook/dispatch/apricothook_grantor_office.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;
/** A datagram that comes twice comes within seconds; a daemon gets few handovers in a minute. */
constexpr std::size_t RememberedHandovers = 64;
/** A refused caller comes back no sooner than this many milliseconds, and is told no longer wait
 * than an hour. */
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

std::string_view nameOf(OfficeChange change)
{
    switch (change) {
    case OfficeChange::TakenOver:
        return "taken-over";
    case OfficeChange::TakenEmpty:
        return "taken-empty";
    case OfficeChange::HandedOver:
        break;
    }
    return "handed-over";
}

GrantorOffice::GrantorOffice(LimitPeer self, LimitMessenger &messenger, OfficeListener &listener,
                             RandomSource &random)
    : m_self(std::move(self)), m_messenger(messenger), m_listener(listener), m_random(random)
{
}

void GrantorOffice::setCustomers(const std::vector<CustomerRule> &customers,
                                 const FleetBounds &bounds, Instant now)
{
    std::map<std::uint64_t, Office> kept;
    for (const CustomerRule &customer : customers) {
        if (customer.ratePerSecond <= 0)
            continue;
        const std::uint64_t number = customerNumber(customer.name);
        const auto known = m_offices.find(number);
        Office office = known == m_offices.end() ? Office() : std::move(known->second);
        office.budget = budgetOf(customer, bounds);
        if (office.state == State::Here)
            office.bucket.setBudget(office.budget, now);
        kept.emplace(number, std::move(office));
    }
    m_offices = std::move(kept);
}

void GrantorOffice::setMembers(std::vector<GrantorCandidate> members,
                               std::optional<Instant> startedTogether)
{
    m_startedTogether = startedTogether;
    m_order.setMembers(std::move(members));
}

void GrantorOffice::setPart(double part, Instant now)
{
    m_part = part;
    for (auto &[customer, office] : m_offices) {
        if (office.state == State::Here)
            office.bucket.setPart(part, now);
    }
}

bool GrantorOffice::isGrantor(std::uint64_t customer) const
{
    const auto office = m_offices.find(customer);
    return office != m_offices.end() && office->second.state == State::Here;
}

void GrantorOffice::noteStandstill(Instant now)
{
    const bool stoodStill = now - std::exchange(m_reviewed, now) > StandstillTime;
    if (!stoodStill)
        return;
    for (auto &[customer, office] : m_offices) {
        if (office.state != State::Here)
            continue;
        office.kept = office.bucket.takeAll(now);
        startClaim(customer, office, now);
    }
}

void GrantorOffice::review(bool knowsFleet, Instant now)
{
    noteStandstill(now);
    m_knowsFleet = knowsFleet;
    for (auto &[customer, office] : m_offices)
        review(customer, office, now);
}

bool GrantorOffice::isFirst(std::uint64_t customer) const
{
    const LimitPeer *first = m_order.first(customer);
    return first && first->member == m_self.member;
}

void GrantorOffice::review(std::uint64_t customer, Office &office, Instant now)
{
    switch (office.state) {
    case State::Elsewhere:
        if (mayClaim(customer, office, now))
            startClaim(customer, office, now);
        return;
    case State::Claiming:
        if (now - office.since >= ClaimTime)
            enter(customer, office, 0, OfficeChange::TakenEmpty, now);
        else if (now - office.claimed >= ClaimPause)
            sendClaim(customer, office, now);
        return;
    case State::Here:
        office.bucket.refill(now);
        // The first may be a grantor as well, after a partition or where each knew a part of the
        // fleet; then it hands over. If it isn't yet, it claims from this daemon in its turn.
        if (!isFirst(customer) && now - office.claimed >= UnitBucket::LongestRefill)
            sendClaim(customer, office, now);
        return;
    }
}

bool GrantorOffice::mayClaim(std::uint64_t customer, const Office &office, Instant now) const
{
    const bool reachesEnough = reachesFleet() || (m_part > 0 && now >= office.restsUntil);
    return isFirst(customer) && m_knowsFleet && reachesEnough;
}

bool GrantorOffice::isAmongFirst(std::uint64_t customer) const
{
    const std::vector<LimitPeer> ranks = m_order.ranks(customer);
    const auto end = ranks.begin()
        + static_cast<std::ptrdiff_t>(std::min(ranks.size(), GrantorOrder::MostAskedToHandOver));
    return std::find(ranks.begin(), end, m_self) != end;
}

std::optional<Instant> GrantorOffice::nextReview() const
{
    std::optional<Instant> next;
    for (const auto &[customer, office] : m_offices) {
        if (office.state == State::Claiming)
            next = std::min(next.value_or(Instant::max()),
                            std::min(office.claimed + ClaimPause, office.since + ClaimTime));
    }
    return next;
}

void GrantorOffice::startClaim(std::uint64_t customer, Office &office, Instant now)
{
    office.state = State::Claiming;
    office.since = now;
    office.claim = m_random.next() | 1;
    office.asked.clear();
    for (const LimitPeer &peer : m_order.incumbents(customer, m_self.member))
        office.asked.insert(peer.member);
    if (m_order.incumbents(customer, m_self.member).empty())
        enter(customer, office, 0, OfficeChange::TakenEmpty, now);
    else
        sendClaim(customer, office, now);
}

void GrantorOffice::sendClaim(std::uint64_t customer, Office &office, Instant now)
{
    office.claimed = now;
    for (const LimitPeer &peer : m_order.incumbents(customer, m_self.member))
        m_messenger.send(peer.address,
                         GrantorClaim {m_self, office.claim, customer, reachesFleet()});
}

void GrantorOffice::enter(std::uint64_t customer, Office &office, double level, OfficeChange change,
                          Instant now)
{
    // What came in during the claim is for those who wait for its end. Should the former grantor
    // live unheard, both granted for that time; the budget has room for it.
    const std::chrono::duration<double> vacancy = now - vacantSince(office, now);
    office.state = State::Here;
    office.since = now;
    office.bucket = UnitBucket(office.budget, now);
    office.bucket.setPart(m_part, now);
    const double missed = vacancy.count() * office.bucket.perSecond();
    office.bucket.add(level + missed + std::exchange(office.kept, 0), now);
    m_listener.onOfficeChanged(customer, change, office.bucket.level());
}

bool GrantorOffice::isAllNew(Instant now) const
{
    // Later, another may have granted and died since.
    return m_startedTogether && now - *m_startedTogether <= LongestVacancy;
}

Instant GrantorOffice::vacantSince(const Office &office, Instant now) const
{
    if (office.state != State::Claiming)
        return now;
    return isAllNew(now) ? *m_startedTogether : office.since;
}

void GrantorOffice::handOver(const GrantorClaim &claim, Office &office, Instant now)
{
    const double level = office.bucket.takeAll(now);
    office.state = State::Elsewhere;
    office.since = now;
    office.sent = {m_random.next(), claim.claim, claim.customer, whole(level)};
    m_listener.onOfficeChanged(claim.customer, OfficeChange::HandedOver, level);
    m_messenger.send(claim.sender.address, office.sent);
}

UnitsAnswer GrantorOffice::answer(const UnitsAsk &ask, Instant now)
{
    noteStandstill(now);
    UnitsAnswer answer;
    answer.member = m_self.member;
    answer.ask = ask.ask;
    const auto found = m_offices.find(ask.customer);
    if (found == m_offices.end())
        return answer;
    Office &office = found->second;
    const bool mayTakeOver = ask.firstIsSilent && m_knowsFleet;
    if (office.state == State::Elsewhere && mayTakeOver && isAmongFirst(ask.customer))
        startClaim(ask.customer, office, now);
    // One that reaches few others leaves the customer to the grantor of the rest.
    if (office.state != State::Here || m_part <= 0) {
        answer.outcome
            = office.state == State::Claiming ? UnitsOutcome::Soon : UnitsOutcome::NotHere;
        if (const LimitPeer *first = m_order.first(ask.customer); first && *first != m_self)
            answer.grantor = *first;
        return answer;
    }
    UnitBucket &bucket = office.bucket;
    const LimitClaim claim {static_cast<double>(ask.units), ask.partLeft / Thousandths};
    const bool isGranted = ask.units == 0 || bucket.tryTake(claim, now);
    answer.outcome = isGranted ? UnitsOutcome::Granted : UnitsOutcome::Refused;
    if (isGranted)
        answer.units = ask.units + whole(bucket.takeAhead(static_cast<double>(ask.ahead), now));
    else
        answer.waitMs = millisecondsOf(bucket.timeUntil(claim, now));
    answer.level = whole(bucket.level());
    answer.bucket = whole(bucket.size());
    answer.perSecond = whole(bucket.perSecond());
    return answer;
}

void GrantorOffice::take(const GrantorClaim &claim, Instant now)
{
    noteStandstill(now);
    const auto found = m_offices.find(claim.customer);
    if (found == m_offices.end())
        return;
    Office &office = found->second;
    // After a partition, the one that hasn't reached the whole fleet yet might grant but a part.
    const bool reachesLess = office.state == State::Here && claim.reachesFleet && !reachesFleet();
    if (reachesLess)
        office.restsUntil = now + RestTime;
    if (reachesLess || m_order.isBefore(claim.sender, m_self, claim.customer))
        yield(claim, office, now);
    else
        claimFrom(claim, office, now);
}

void GrantorOffice::yield(const GrantorClaim &claim, Office &office, Instant now)
{
    if (office.state == State::Here) {
        handOver(claim, office, now);
        return;
    }
    // Both would start from an empty bucket, and fill two.
    office.state = State::Elsewhere;
    office.kept = 0;
    if (office.sent.claim == claim.claim)
        m_messenger.send(claim.sender.address, office.sent);
    else
        deny(claim);
}

void GrantorOffice::deny(const GrantorClaim &claim)
{
    m_messenger.send(claim.sender.address,
                     GrantorDenial {m_self.member, claim.claim, claim.customer});
}

void GrantorOffice::take(const GrantorDenial &denial, Instant now)
{
    const auto found = m_offices.find(denial.customer);
    if (found == m_offices.end())
        return;
    Office &office = found->second;
    if (office.state != State::Claiming || office.claim != denial.claim)
        return;
    office.asked.erase(denial.member);
    if (office.asked.empty() && isAllNew(now))
        enter(denial.customer, office, 0, OfficeChange::TakenEmpty, now);
}

void GrantorOffice::claimFrom(const GrantorClaim &claim, Office &office, Instant now)
{
    if (office.state == State::Elsewhere && mayClaim(claim.customer, office, now))
        startClaim(claim.customer, office, now);
    if (office.state == State::Elsewhere)
        deny(claim);
    // Two that differ about who goes first don't answer each other without a pause.
    if (office.state == State::Elsewhere || now - office.answered < ClaimPause)
        return;
    office.answered = now;
    m_messenger.send(claim.sender.address,
                     GrantorClaim {m_self, office.claim, claim.customer, reachesFleet()});
}

bool GrantorOffice::isNew(std::uint64_t handover)
{
    if (std::ranges::find(m_taken, handover) != m_taken.end())
        return false;
    m_taken.push_back(handover);
    if (m_taken.size() > RememberedHandovers)
        m_taken.pop_front();
    return true;
}

void GrantorOffice::take(const GrantorHandover &handover, Instant now)
{
    const auto found = m_offices.find(handover.customer);
    if (found == m_offices.end())
        return;
    Office &office = found->second;
    if (handover.claim != office.claim || !isNew(handover.handover))
        return;
    const auto level = static_cast<double>(handover.level);
    if (office.state == State::Here)
        office.bucket.add(level, now);
    else if (office.state == State::Claiming)
        enter(handover.customer, office, level, OfficeChange::TakenOver, now);
    // Whoever has yielded meanwhile loses it; the customer's next grantor starts empty.
}

} // namespace Apricothook
