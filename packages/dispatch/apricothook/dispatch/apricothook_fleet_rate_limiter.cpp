#include <apricothook/dispatch/apricothook_fleet_rate_limiter.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;
/** Consecutive timeouts that are attributed to lost datagrams. */
constexpr unsigned ToleratedTimeouts = 2;
/**
 * Delay before a caller that found no grantor retries: by then the members of a fleet have usually
 * discovered each other again.
 */
constexpr std::chrono::milliseconds NoGrantorRetryAfter {500};

std::uint64_t wholeUnits(double units)
{
    return static_cast<std::uint64_t>(std::max(units, 0.0));
}

} // namespace

std::string_view nameOf(LimitSource source)
{
    switch (source) {
    case LimitSource::Unlimited:
        return "unlimited";
    case LimitSource::Stock:
        return "stock";
    case LimitSource::Grantor:
        return "grantor";
    case LimitSource::Credit:
        return "credit";
    case LimitSource::Nobody:
        break;
    }
    return "nobody";
}

FleetRateLimiter::FleetRateLimiter(LimitPeer self, LimitMessenger &messenger,
                                   LimitListener &listener, GrantorListener &grantorListener,
                                   RandomSource &random)
    : m_self(self)
    , m_messenger(messenger)
    , m_listener(listener)
    , m_random(random)
    , m_grantor(std::move(self), messenger, grantorListener, random)
    , m_lastRequestId(random.next())
{
}

void FleetRateLimiter::setBudgets(const UnitBudgets &budgets, Instant now)
{
    std::erase_if(m_accounts,
                  [&budgets](const auto &account) { return !budgets.contains(account.first); });
    m_grantor.setBudgets(budgets, now);
    m_grantor.review(m_isFleetKnown, now);
}

void FleetRateLimiter::setBudget(std::uint64_t limit, const std::optional<UnitBudget> &budget,
                                 Instant now)
{
    if (!budget)
        m_accounts.erase(limit);
    m_grantor.setBudget(limit, budget, m_isFleetKnown, now);
}

void FleetRateLimiter::setFleet(const FleetMembership &fleet, Instant now)
{
    m_knownMembers = fleet.known;
    m_isFleetKnown = fleet.isComplete;
    m_grantor.setMembers(fleet.members, fleet.startedTogether);
    m_grantor.review(m_isFleetKnown, now);
}

std::optional<LimitDecision> FleetRateLimiter::take(ExchangeId exchange, const LimitedUnits &units,
                                                    Instant now)
{
    WaitingRequest waiting;
    waiting.exchange = exchange;
    waiting.limit = units.limit;
    waiting.budget = units.budget;
    waiting.demand = units.demand;
    waiting.longestWait = units.longestWait;
    waiting.waitingSince = now;
    if (units.budget.perSecond <= 0)
        return makeDecision(waiting, LimitSource::Unlimited, true, now);
    Account &account = m_accounts[waiting.limit];
    account.grantLifetime = waiting.budget.grantLifetime;
    if (account.units.tryTake(units.demand.units, now)) {
        account.units.recordAdmitted(units.demand.units, now);
        prefetch(waiting.limit, account, waiting.budget, now);
        return makeDecision(waiting, LimitSource::Stock, true, now);
    }
    if (m_grantor.isGrantor(waiting.limit))
        return decideLocally(waiting, now);
    // A daemon that has just started knows no member to ask and can't tell how long that will last.
    if (!m_isFleetKnown && !chooseGrantor(waiting, now)) {
        LimitDecision refused = makeDecision(waiting, LimitSource::Nobody, false, now);
        refused.retryAfter = NoGrantorRetryAfter;
        return refused;
    }
    m_waiting.push_back(std::move(waiting));
    query(m_waiting.back(), now);
    return std::nullopt;
}

LimitDecision FleetRateLimiter::decideLocally(WaitingRequest &waiting, Instant now)
{
    waiting.queriedPeer = m_self;
    const UnitsReply reply
        = m_grantor.answer(makeUnitsRequest(0, waiting.limit, waiting.demand, 0), now);
    return grantorDecision(waiting, reply, reply.outcome == UnitsOutcome::Granted, now);
}

LimitDecision FleetRateLimiter::grantorDecision(const WaitingRequest &waiting,
                                                const UnitsReply &reply, bool isAdmitted,
                                                Instant now) const
{
    LimitDecision decided = makeDecision(waiting, LimitSource::Grantor, isAdmitted, now);
    decided.level = static_cast<double>(reply.level);
    decided.bucket = static_cast<double>(reply.bucket);
    decided.perSecond = static_cast<double>(reply.perSecond);
    decided.retryAfter = std::chrono::milliseconds(reply.waitMs);
    return decided;
}

void FleetRateLimiter::giveBack(std::uint64_t limit, double units, Instant now)
{
    const UnitsReturn returned {m_random.next(), limit, wholeUnits(units)};
    const auto account = m_accounts.find(limit);
    if (m_grantor.isGrantor(limit))
        m_grantor.take(returned, now);
    else if (account != m_accounts.end() && account->second.grantor.member != 0)
        m_messenger.send(account->second.grantor.address, returned);
}

void FleetRateLimiter::cancel(ExchangeId exchange)
{
    std::erase_if(m_waiting, [exchange](const WaitingRequest &waiting) {
        return waiting.exchange == exchange;
    });
}

bool FleetRateLimiter::isSilent(std::uint64_t member, Instant now) const
{
    const auto peer = m_peers.find(member);
    return peer != m_peers.end() && peer->second.silentUntil > now;
}

std::optional<LimitPeer> FleetRateLimiter::chooseGrantor(const WaitingRequest &waiting,
                                                         Instant now) const
{
    const auto mayBeQueried = [&](const LimitPeer &peer) {
        return peer.member != 0 && peer.member != m_self.member && !isSilent(peer.member, now)
            && !waiting.notGrantors.contains(peer.member);
    };
    const auto account = m_accounts.find(waiting.limit);
    if (account != m_accounts.end() && mayBeQueried(account->second.grantor))
        return account->second.grantor;
    if (waiting.suggestedGrantor && mayBeQueried(*waiting.suggestedGrantor))
        return waiting.suggestedGrantor;
    std::vector<LimitPeer> ranks = m_grantor.ranking().ranked(waiting.limit);
    // Daemons that rank lower don't take over the limit.
    ranks.resize(std::min(ranks.size(), GrantorRanking::MaximumClaimReceivers));
    const auto next = std::ranges::find_if(ranks, mayBeQueried);
    return next == ranks.end() ? std::nullopt : std::optional(*next);
}

UnitsRequest FleetRateLimiter::makeUnitsRequest(std::uint64_t requestId, std::uint64_t limit,
                                                const UnitDemand &demand, double prefetched) const
{
    return {
        .sender = m_self,
        .requestId = requestId,
        .limit = limit,
        .units = wholeUnits(demand.units),
        .prefetch = wholeUnits(prefetched),
        .reservedThousandths
        = static_cast<std::uint32_t>(wholeUnits(demand.reservedFraction * Thousandths)),
        .firstIsSilent = false,
    };
}

double FleetRateLimiter::prefetchUnits(Account &account, const UnitBudget &budget,
                                       Instant now) const
{
    const auto time = std::chrono::duration_cast<Duration>(budget.grantLifetime * PrefetchFraction);
    return account.units.expectedDemand(time, now);
}

void FleetRateLimiter::query(WaitingRequest &waiting, Instant now)
{
    waiting.requestId = 0;
    const std::optional<LimitPeer> peer = chooseGrantor(waiting, now);
    if (!peer) {
        waiting.notGrantors.clear();
        waiting.nextAction = now + PendingPause;
        return;
    }
    Account &account = m_accounts[waiting.limit];
    const double expected = prefetchUnits(account, waiting.budget, now);
    // If the next request isn't expected within a grant's life, its units would expire unused.
    const double wanted = expected >= waiting.demand.units ? expected : 0;
    UnitsRequest request
        = this->makeUnitsRequest(++m_lastRequestId, waiting.limit, waiting.demand, wanted);
    const LimitPeer *first = m_grantor.ranking().highestRanked(waiting.limit);
    request.firstIsSilent = first && isSilent(first->member, now);
    waiting.requestId = request.requestId;
    waiting.queriedPeer = *peer;
    waiting.querySent = now;
    waiting.nextAction = now + AnswerTime;
    ++waiting.queries;
    m_messenger.send(peer->address, request);
}

void FleetRateLimiter::queryNext(WaitingRequest &waiting, Instant now)
{
    const bool hasNext = chooseGrantor(waiting, now).has_value();
    if (m_isFleetKnown || hasNext)
        query(waiting, now);
    else
        waiting.nextAction = now;
}

void FleetRateLimiter::prefetch(std::uint64_t limit, Account &account, const UnitBudget &budget,
                                Instant now)
{
    const double expected = prefetchUnits(account, budget, now);
    const double available = account.units.granted(now);
    // Requested when half of the units are used, so that the answer arrives in time.
    const bool isLow = available < expected / 2;
    const LimitPeer &grantor = account.grantor;
    if (!isLow || now - account.prefetchSent < AnswerTime || grantor.member == 0
        || isSilent(grantor.member, now))
        return;
    account.prefetchSent = now;
    std::erase_if(m_prefetches,
                  [now](const auto &open) { return now - open.second.sent > LongestWait; });
    m_prefetches[++m_lastRequestId] = {limit, now};
    m_messenger.send(grantor.address,
                     makeUnitsRequest(m_lastRequestId, limit, {}, expected - available));
}

bool FleetRateLimiter::takePrefetch(const UnitsReply &reply, Instant now)
{
    const auto open = m_prefetches.find(reply.requestId);
    if (open == m_prefetches.end())
        return false;
    Account &account = m_accounts[open->second.limit];
    const Instant until = open->second.sent + account.grantLifetime;
    if (reply.units > 0 && until > now)
        account.units.add(static_cast<double>(reply.units), until);
    m_prefetches.erase(open);
    return true;
}

void FleetRateLimiter::take(const UnitsRequest &request, Instant now)
{
    m_messenger.send(request.sender.address, m_grantor.answer(request, now));
}

void FleetRateLimiter::take(const UnitsReply &reply, Instant now)
{
    m_peers.erase(reply.member);
    if (takePrefetch(reply, now))
        return;
    const auto found = std::ranges::find(m_waiting, reply.requestId, &WaitingRequest::requestId);
    // The request that a late answer belongs to has already been decided or asked elsewhere; the
    // units are lost.
    if (found == m_waiting.end() || reply.requestId == 0
        || found->queriedPeer.member != reply.member)
        return;
    WaitingRequest &waiting = *found;
    waiting.requestId = 0;
    Account &account = m_accounts[waiting.limit];
    switch (reply.outcome) {
    case UnitsOutcome::NotGrantor:
        waiting.notGrantors.insert(reply.member);
        waiting.suggestedGrantor.reset();
        if (!reply.grantor.address.address.empty())
            waiting.suggestedGrantor = reply.grantor;
        if (account.grantor.member == reply.member)
            account.grantor = {};
        queryNext(waiting, now);
        return;
    case UnitsOutcome::Pending:
        waiting.nextAction = now + (m_isFleetKnown ? Duration(PendingPause) : Duration::zero());
        return;
    case UnitsOutcome::Granted:
    case UnitsOutcome::Refused:
        break;
    }
    account.grantor = waiting.queriedPeer;
    const bool isGranted = reply.outcome == UnitsOutcome::Granted
        && static_cast<double>(reply.units) >= waiting.demand.units;
    const double prefetched
        = static_cast<double>(reply.units) - (isGranted ? waiting.demand.units : 0);
    if (prefetched > 0)
        account.units.add(prefetched, waiting.querySent + account.grantLifetime);
    const bool isAdmitted = isGranted || account.units.tryTake(waiting.demand.units, now);
    if (isAdmitted)
        account.units.recordAdmitted(waiting.demand.units, now);
    const LimitDecision decided = grantorDecision(waiting, reply, isAdmitted, now);
    const ExchangeId exchange = waiting.exchange;
    m_waiting.erase(found);
    m_listener.onLimitDecided(exchange, decided);
}

void FleetRateLimiter::recordTimeout(std::uint64_t member, Instant now)
{
    PeerState &peer = m_peers[member];
    if (++peer.timeouts > ToleratedTimeouts)
        peer.silentUntil = now + SilentPeerPause;
}

std::optional<LimitDecision> FleetRateLimiter::decideWithoutAnswer(WaitingRequest &waiting,
                                                                   Instant now)
{
    if (m_grantor.isGrantor(waiting.limit))
        return decideLocally(waiting, now);
    Account &account = m_accounts[waiting.limit];
    // The answer to another request may have brought units in the meantime.
    if (account.units.tryTake(waiting.demand.units, now))
        return makeDecision(waiting, LimitSource::Stock, true, now);
    const bool hasCredit = m_isFleetKnown
        && account.units.tryTakeCredit(waiting.demand.units, waiting.budget, m_knownMembers, now);
    if (hasCredit)
        return makeDecision(waiting, LimitSource::Credit, true, now);
    // If the fleet has just started, the daemon that was asked has no more information.
    if (m_isFleetKnown && now - waiting.waitingSince < waiting.longestWait)
        return std::nullopt;
    LimitDecision decided = makeDecision(waiting, LimitSource::Nobody, false, now);
    decided.retryAfter = NoGrantorRetryAfter;
    return decided;
}

LimitDecision FleetRateLimiter::makeDecision(const WaitingRequest &waiting, LimitSource source,
                                             bool isAdmitted, Instant now) const
{
    LimitDecision decision;
    decision.isAdmitted = isAdmitted;
    decision.source = source;
    decision.demand = waiting.demand;
    decision.grantor = source == LimitSource::Grantor ? waiting.queriedPeer.member : 0;
    decision.waited = now - waiting.waitingSince;
    decision.queries = waiting.queries;
    return decision;
}

void FleetRateLimiter::review(Instant now)
{
    m_grantor.review(m_isFleetKnown, now);
    reviewWaiting(now);
}

void FleetRateLimiter::reviewWaiting(Instant now)
{
    struct Decided
    {
        ExchangeId exchange;
        LimitDecision decision;
    };
    std::vector<Decided> decided;
    for (WaitingRequest &waiting : m_waiting) {
        if (waiting.nextAction > now)
            continue;
        if (waiting.requestId != 0)
            recordTimeout(waiting.queriedPeer.member, now);
        if (const std::optional<LimitDecision> decision = decideWithoutAnswer(waiting, now))
            decided.push_back({waiting.exchange, *decision});
        else
            query(waiting, now);
    }
    for (const Decided &one : decided)
        cancel(one.exchange);
    for (const Decided &one : decided)
        m_listener.onLimitDecided(one.exchange, one.decision);
}

std::optional<Instant> FleetRateLimiter::nextReview() const
{
    std::optional<Instant> next = m_grantor.nextReview();
    for (const WaitingRequest &waiting : m_waiting)
        next = std::min(next.value_or(Instant::max()), waiting.nextAction);
    return next;
}

} // namespace Apricothook
