#include <apricothook/dispatch/apricothook_customer_rate_limiter.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;
/** Unanswered questions in a row that aren't taken for lost datagrams. */
constexpr unsigned MissesByChance = 2;
/** When a caller that found no grantor may find one: fleets know themselves again by then. */
constexpr std::chrono::milliseconds NobodyRetryAfter {500};

std::uint64_t whole(double units)
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

CustomerRateLimiter::CustomerRateLimiter(const FleetBounds &bounds, LimitPeer self,
                                         LimitMessenger &messenger, LimitListener &listener,
                                         GrantorListener &grantorListener, RandomSource &random)
    : m_bounds(bounds)
    , m_self(self)
    , m_messenger(messenger)
    , m_listener(listener)
    , m_random(random)
    , m_grantor(std::move(self), messenger, grantorListener, random)
    , m_lastAsk(random.next())
{
}

void CustomerRateLimiter::setCustomers(const std::vector<CustomerRule> &customers, Instant now)
{
    m_grantor.setCustomers(customers, m_bounds, now);
    m_grantor.review(m_isComplete, now);
}

void CustomerRateLimiter::setFleet(const FleetMembership &fleet, Instant now)
{
    m_known = fleet.known;
    m_isComplete = fleet.isComplete;
    m_grantor.setMembers(fleet.members, fleet.startedTogether);
    m_grantor.review(m_isComplete, now);
}

std::optional<LimitDecision> CustomerRateLimiter::take(ExchangeId exchange,
                                                       const CustomerRule &customer,
                                                       const UnitDemand &claim, Instant now)
{
    Waiting waiting;
    waiting.exchange = exchange;
    waiting.customer = customerHash(customer.name);
    waiting.budget = budgetOf(customer, m_bounds);
    waiting.claim = claim;
    waiting.since = now;
    if (customer.ratePerSecond <= 0)
        return verdict(waiting, LimitSource::Unlimited, true, now);
    Account &account = m_accounts[waiting.customer];
    account.grantLife = waiting.budget.grantLife;
    if (account.stock.tryTake(claim.units, now)) {
        account.stock.noteAdmitted(claim.units, now);
        askAhead(waiting.customer, account, waiting.budget, now);
        return verdict(waiting, LimitSource::Stock, true, now);
    }
    if (m_grantor.isGrantor(waiting.customer))
        return decideHere(waiting, now);
    // A daemon that has just started knows nobody to ask, and can't tell how long it will last.
    if (!m_isComplete && !chooseGrantor(waiting, now)) {
        LimitDecision refused = verdict(waiting, LimitSource::Nobody, false, now);
        refused.retryAfter = NobodyRetryAfter;
        return refused;
    }
    m_waiting.push_back(std::move(waiting));
    ask(m_waiting.back(), now);
    return std::nullopt;
}

LimitDecision CustomerRateLimiter::decideHere(Waiting &waiting, Instant now)
{
    waiting.asked = m_self;
    const UnitsReply answer
        = m_grantor.answer(question(0, waiting.customer, waiting.claim, 0), now);
    return grantorVerdict(waiting, answer, answer.outcome == UnitsOutcome::Granted, now);
}

LimitDecision CustomerRateLimiter::grantorVerdict(const Waiting &waiting, const UnitsReply &answer,
                                                  bool isAdmitted, Instant now) const
{
    LimitDecision decided = verdict(waiting, LimitSource::Grantor, isAdmitted, now);
    decided.level = static_cast<double>(answer.level);
    decided.bucket = static_cast<double>(answer.bucket);
    decided.perSecond = static_cast<double>(answer.perSecond);
    decided.retryAfter = std::chrono::milliseconds(answer.waitMs);
    return decided;
}

void CustomerRateLimiter::cancel(ExchangeId exchange)
{
    std::erase_if(m_waiting,
                  [exchange](const Waiting &waiting) { return waiting.exchange == exchange; });
}

bool CustomerRateLimiter::isSilent(std::uint64_t member, Instant now) const
{
    const auto peer = m_peers.find(member);
    return peer != m_peers.end() && peer->second.silentUntil > now;
}

std::optional<LimitPeer> CustomerRateLimiter::chooseGrantor(const Waiting &waiting,
                                                            Instant now) const
{
    const auto mayBeAsked = [&](const LimitPeer &peer) {
        return peer.member != 0 && peer.member != m_self.member && !isSilent(peer.member, now)
            && !waiting.notThere.contains(peer.member);
    };
    const auto account = m_accounts.find(waiting.customer);
    if (account != m_accounts.end() && mayBeAsked(account->second.grantor))
        return account->second.grantor;
    if (waiting.named && mayBeAsked(*waiting.named))
        return waiting.named;
    std::vector<LimitPeer> ranks = m_grantor.order().ranks(waiting.customer);
    // Those after them don't take the customer over.
    ranks.resize(std::min(ranks.size(), GrantorOrder::MostAskedToHandOver));
    const auto next = std::ranges::find_if(ranks, mayBeAsked);
    return next == ranks.end() ? std::nullopt : std::optional(*next);
}

UnitsRequest CustomerRateLimiter::question(std::uint64_t ask, std::uint64_t customer,
                                           const UnitDemand &claim, double ahead) const
{
    return {
        .sender = m_self,
        .requestId = ask,
        .customer = customer,
        .units = whole(claim.units),
        .prefetch = whole(ahead),
        .reservedThousandths
        = static_cast<std::uint32_t>(whole(claim.reservedFraction * Thousandths)),
        .firstIsSilent = false,
    };
}

double CustomerRateLimiter::ahead(Account &account, const CustomerBudget &budget, Instant now) const
{
    const auto time = std::chrono::duration_cast<Duration>(budget.grantLife * AheadPart);
    return account.stock.expected(time, now);
}

void CustomerRateLimiter::ask(Waiting &waiting, Instant now)
{
    waiting.ask = 0;
    const std::optional<LimitPeer> peer = chooseGrantor(waiting, now);
    if (!peer) {
        waiting.notThere.clear();
        waiting.due = now + SoonPause;
        return;
    }
    Account &account = m_accounts[waiting.customer];
    const double expected = ahead(account, waiting.budget, now);
    // Where the next request isn't expected within a grant's life, its units would be void.
    const double wanted = expected >= waiting.claim.units ? expected : 0;
    UnitsRequest question = this->question(++m_lastAsk, waiting.customer, waiting.claim, wanted);
    const LimitPeer *first = m_grantor.order().first(waiting.customer);
    question.firstIsSilent = first && isSilent(first->member, now);
    waiting.ask = question.requestId;
    waiting.asked = *peer;
    waiting.sent = now;
    waiting.due = now + AnswerTime;
    ++waiting.asks;
    m_messenger.send(peer->address, question);
}

void CustomerRateLimiter::askNext(Waiting &waiting, Instant now)
{
    const bool hasNext = chooseGrantor(waiting, now).has_value();
    if (m_isComplete || hasNext)
        ask(waiting, now);
    else
        waiting.due = now;
}

void CustomerRateLimiter::askAhead(std::uint64_t customer, Account &account,
                                   const CustomerBudget &budget, Instant now)
{
    const double expected = ahead(account, budget, now);
    const double held = account.stock.granted(now);
    // Asked for when half is used up, so that the answer is there in time.
    const bool isLow = held < expected / 2;
    const LimitPeer &grantor = account.grantor;
    if (!isLow || now - account.aheadSent < AnswerTime || grantor.member == 0
        || isSilent(grantor.member, now))
        return;
    account.aheadSent = now;
    std::erase_if(m_aheadAsks,
                  [now](const auto &open) { return now - open.second.sent > LongestAsk; });
    m_aheadAsks[++m_lastAsk] = {customer, now};
    m_messenger.send(grantor.address, question(m_lastAsk, customer, {}, expected - held));
}

bool CustomerRateLimiter::takeAhead(const UnitsReply &answer, Instant now)
{
    const auto open = m_aheadAsks.find(answer.requestId);
    if (open == m_aheadAsks.end())
        return false;
    Account &account = m_accounts[open->second.customer];
    const Instant until = open->second.sent + account.grantLife;
    if (answer.units > 0 && until > now)
        account.stock.add(static_cast<double>(answer.units), until);
    m_aheadAsks.erase(open);
    return true;
}

void CustomerRateLimiter::take(const UnitsRequest &ask, Instant now)
{
    m_messenger.send(ask.sender.address, m_grantor.answer(ask, now));
}

void CustomerRateLimiter::take(const UnitsReply &answer, Instant now)
{
    m_peers.erase(answer.member);
    if (takeAhead(answer, now))
        return;
    const auto found = std::ranges::find(m_waiting, answer.requestId, &Waiting::ask);
    // Whoever waited for a late answer has gone on without it; its units are lost.
    if (found == m_waiting.end() || answer.requestId == 0 || found->asked.member != answer.member)
        return;
    Waiting &waiting = *found;
    waiting.ask = 0;
    Account &account = m_accounts[waiting.customer];
    switch (answer.outcome) {
    case UnitsOutcome::NotGrantor:
        waiting.notThere.insert(answer.member);
        waiting.named.reset();
        if (!answer.grantor.address.address.empty())
            waiting.named = answer.grantor;
        if (account.grantor.member == answer.member)
            account.grantor = {};
        askNext(waiting, now);
        return;
    case UnitsOutcome::Pending:
        waiting.due = now + (m_isComplete ? Duration(SoonPause) : Duration::zero());
        return;
    case UnitsOutcome::Granted:
    case UnitsOutcome::Refused:
        break;
    }
    account.grantor = waiting.asked;
    const bool isGranted = answer.outcome == UnitsOutcome::Granted
        && static_cast<double>(answer.units) >= waiting.claim.units;
    const double ahead = static_cast<double>(answer.units) - (isGranted ? waiting.claim.units : 0);
    if (ahead > 0)
        account.stock.add(ahead, waiting.sent + account.grantLife);
    const bool isAdmitted = isGranted || account.stock.tryTake(waiting.claim.units, now);
    if (isAdmitted)
        account.stock.noteAdmitted(waiting.claim.units, now);
    const LimitDecision decided = grantorVerdict(waiting, answer, isAdmitted, now);
    const ExchangeId exchange = waiting.exchange;
    m_waiting.erase(found);
    m_listener.onLimitDecided(exchange, decided);
}

void CustomerRateLimiter::noteMissed(std::uint64_t member, Instant now)
{
    Peer &peer = m_peers[member];
    if (++peer.misses > MissesByChance)
        peer.silentUntil = now + SilenceTime;
}

std::optional<LimitDecision> CustomerRateLimiter::withoutAnswer(Waiting &waiting, Instant now)
{
    if (m_grantor.isGrantor(waiting.customer))
        return decideHere(waiting, now);
    Account &account = m_accounts[waiting.customer];
    // Another request's answer may have brought units meanwhile.
    if (account.stock.tryTake(waiting.claim.units, now))
        return verdict(waiting, LimitSource::Stock, true, now);
    const bool hasCredit = m_isComplete
        && account.stock.tryTakeCredit(waiting.claim.units, waiting.budget, m_known, now);
    if (hasCredit)
        return verdict(waiting, LimitSource::Credit, true, now);
    // Where the fleet has just started, whoever was asked knows no more.
    if (m_isComplete && now - waiting.since < LongestAsk)
        return std::nullopt;
    LimitDecision decided = verdict(waiting, LimitSource::Nobody, false, now);
    decided.retryAfter = NobodyRetryAfter;
    return decided;
}

LimitDecision CustomerRateLimiter::verdict(const Waiting &waiting, LimitSource source,
                                           bool isAdmitted, Instant now) const
{
    LimitDecision verdict;
    verdict.isAdmitted = isAdmitted;
    verdict.source = source;
    verdict.demand = waiting.claim;
    verdict.grantor = source == LimitSource::Grantor ? waiting.asked.member : 0;
    verdict.waited = now - waiting.since;
    verdict.queries = waiting.asks;
    return verdict;
}

void CustomerRateLimiter::review(Instant now)
{
    m_grantor.review(m_isComplete, now);
    reviewWaiting(now);
}

void CustomerRateLimiter::reviewWaiting(Instant now)
{
    struct Decided
    {
        ExchangeId exchange;
        LimitDecision verdict;
    };
    std::vector<Decided> decided;
    for (Waiting &waiting : m_waiting) {
        if (waiting.due > now)
            continue;
        if (waiting.ask != 0)
            noteMissed(waiting.asked.member, now);
        if (const std::optional<LimitDecision> verdict = withoutAnswer(waiting, now))
            decided.push_back({waiting.exchange, *verdict});
        else
            ask(waiting, now);
    }
    for (const Decided &one : decided)
        cancel(one.exchange);
    for (const Decided &one : decided)
        m_listener.onLimitDecided(one.exchange, one.verdict);
}

std::optional<Instant> CustomerRateLimiter::nextReview() const
{
    std::optional<Instant> next = m_grantor.nextReview();
    for (const Waiting &waiting : m_waiting)
        next = std::min(next.value_or(Instant::max()), waiting.due);
    return next;
}

} // namespace Apricothook
