#include <apricothook/dispatch/apricothook_send_permits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** Pause before a daemon that has just started is asked again. */
constexpr std::chrono::milliseconds UninformedPause {100};

std::uint32_t millisecondsOf(Duration duration)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

std::string_view nameOf(PermitSource source)
{
    switch (source) {
    case PermitSource::Self:
        return "self";
    case PermitSource::Other:
        return "issuer";
    case PermitSource::Alone:
        break;
    }
    return "alone";
}

std::string_view nameOf(PermitOutcome outcome)
{
    switch (outcome) {
    case PermitOutcome::Granted:
        return "granted";
    case PermitOutcome::Busy:
        return "busy";
    case PermitOutcome::Suspect:
        break;
    }
    return "suspect";
}

SendPermits::SendPermits(LimitPeer self, LimitMessenger &messenger, RandomSource &random,
                         PermitListener &listener, SuspectAnnouncer &announcer)
    : m_self(std::move(self))
    , m_messenger(messenger)
    , m_listener(listener)
    , m_announcer(announcer)
    , m_lastPermit(random.next())
{
}

bool SendPermits::isNeeded(std::uint64_t request, Instant lastLoss) const
{
    const auto sound = m_sound.find(request);
    return sound == m_sound.end() || sound->second <= lastLoss;
}

std::optional<PermitDecision> SendPermits::acquire(ExchangeId exchange, std::uint64_t request,
                                                   Duration lifetime, Instant now)
{
    Query query;
    query.exchange = exchange;
    query.message = {
        m_self.address, ++m_lastPermit, request, millisecondsOf(lifetime + ReportTime), false, 0};
    return begin(std::move(query), now);
}

std::optional<PermitDecision> SendPermits::inquire(ExchangeId exchange, std::uint64_t trait,
                                                   Instant now)
{
    const std::size_t known = m_announcer.traits().knownCrashes(trait);
    Query query;
    query.exchange = exchange;
    query.message
        = {m_self.address, ++m_lastPermit, trait, 0, true, static_cast<std::uint32_t>(known)};
    return begin(std::move(query), now);
}

std::optional<PermitDecision> SendPermits::begin(Query query, Instant now)
{
    query.since = now;
    std::optional<PermitDecision> decision = proceed(query, now);
    if (!decision)
        m_queries.push_back(std::move(query));
    return decision;
}

void SendPermits::cancel(ExchangeId exchange)
{
    for (const Query &query : m_queries) {
        if (query.exchange != exchange || query.message.isShared)
            continue;
        const PermitReport unused {query.message.permit, query.message.request, PermitUse::Unused,
                                   0, 0};
        for (const LimitPeer &issuer : query.asked)
            m_messenger.send(issuer.address, unused);
    }
    std::erase_if(m_queries, [&](const Query &query) { return query.exchange == exchange; });
}

bool SendPermits::isSilent(std::uint64_t member, Instant now) const
{
    const auto silent = m_silentUntil.find(member);
    return silent != m_silentUntil.end() && silent->second > now;
}

bool SendPermits::hearsNobody(Instant now) const
{
    if (m_others.empty())
        return !m_reachesFleet;
    const auto silent = std::ranges::count_if(
        m_others, [&](const LimitPeer &peer) { return isSilent(peer.member, now); });
    return static_cast<std::size_t>(silent) >= std::min(m_others.size(), MaximumQueries);
}

std::optional<LimitPeer> SendPermits::nextIssuer(const Query &query, Instant now) const
{
    const LimitPeer *best = &m_self;
    const auto weight = [&](const LimitPeer &peer) {
        return std::pair(rendezvousWeight(query.message.request, peer.member), peer.member);
    };
    for (const LimitPeer &peer : m_others) {
        const bool wasAsked = std::ranges::find(query.asked, peer) != query.asked.end();
        if (!wasAsked && !isSilent(peer.member, now) && weight(peer) > weight(*best))
            best = &peer;
    }
    return best == &m_self ? std::nullopt : std::optional(*best);
}

std::optional<PermitDecision> SendPermits::proceed(Query &query, Instant now)
{
    const std::optional<LimitPeer> issuer = nextIssuer(query, now);
    if (issuer && query.asked.size() < MaximumQueries) {
        query.asked.push_back(*issuer);
        query.sent = now;
        m_messenger.send(issuer->address, query.message);
        return std::nullopt;
    }
    return decideHere(query, hearsNobody(now) ? PermitSource::Alone : PermitSource::Self, now);
}

PermitDecision SendPermits::decideHere(const Query &query, PermitSource source, Instant now)
{
    PermitGrant decided;
    const bool isDoubtful = source == PermitSource::Alone && !query.message.isShared
        && m_announcer.traits().crashes(query.message.request) > 0;
    if (isDoubtful)
        decided = {PermitOutcome::Busy, false, AlonePause};
    else
        decided = grant(query.message, now);
    if (decided.outcome == PermitOutcome::Granted)
        hold(query, std::nullopt, now);
    return {.outcome = decided.outcome,
            .source = source,
            .permit = query.message.permit,
            .waited = now - query.since,
            .queries = static_cast<unsigned>(query.asked.size()),
            .retryAfter = decided.wait};
}

PermitGrant SendPermits::grant(const PermitRequest &request, Instant now)
{
    if (!m_announcer.isInformed())
        return {PermitOutcome::Busy, false, UninformedPause};
    if (request.isShared) {
        const bool knowsMore = m_announcer.traits().crashes(request.request) > request.knownCrashes;
        return knowsMore ? PermitGrant {PermitOutcome::Suspect, false, UninformedPause}
                         : PermitGrant {};
    }
    if (m_announcer.traits().isSuspect(request.request))
        return {PermitOutcome::Suspect, false, UninformedPause};
    return m_issuer.grant(request, m_announcer.isCautious(now), now);
}

void SendPermits::hold(const Query &query, const std::optional<Endpoint> &issuer, Instant now)
{
    if (query.message.isShared)
        return;
    m_held[query.message.permit] = {query.message.request, issuer, now, 0, {}};
}

void SendPermits::markSound(std::uint64_t request, Instant since)
{
    if (m_sound.size() >= MaximumSound)
        m_sound.erase(
            std::ranges::min_element(m_sound, {}, [](const auto &entry) { return entry.second; }));
    Instant &sound = m_sound[request];
    sound = std::max(sound, since);
}

void SendPermits::report(std::uint64_t permit, PermitUse use, std::uint64_t instance, Instant now)
{
    const auto found = m_held.find(permit);
    if (found == m_held.end())
        return;
    Held &held = found->second;
    send(held, {permit, held.request, use, instance, 0}, now);
    if (use == PermitUse::Sound)
        markSound(held.request, held.granted);
    else if (use != PermitUse::Unused)
        m_sound.erase(held.request);
    if (use == PermitUse::Lost) {
        held.instance = instance;
        held.lost = now;
        return;
    }
    m_held.erase(found);
}

void SendPermits::conclude(std::uint64_t request, std::uint64_t instance, bool hasCrashed,
                           Instant crashed, Instant now)
{
    const PermitUse use = hasCrashed ? PermitUse::Crashed : PermitUse::Unused;
    std::erase_if(m_held, [&](const auto &entry) {
        const Held &held = entry.second;
        if (held.request != request || held.instance != instance || held.lost == Instant())
            return false;
        send(held, {entry.first, request, use, instance, millisecondsOf(now - crashed)}, now);
        return true;
    });
    if (hasCrashed)
        recordCrash(request);
}

void SendPermits::recordCrash(std::uint64_t request)
{
    m_sound.erase(request);
    m_issuer.recordCrash(request);
}

void SendPermits::send(const Held &held, const PermitReport &report, Instant now)
{
    if (held.issuer)
        m_messenger.send(*held.issuer, report);
    else
        take(report, now);
}

void SendPermits::take(const PermitRequest &request, Instant now)
{
    const PermitGrant granted = grant(request, now);
    if (granted.outcome == PermitOutcome::Suspect)
        m_announcer.inform(request.sender, request.request, now);
    m_messenger.send(request.sender,
                     PermitReply {m_self.member, request.permit, granted.outcome, granted.isSound,
                                  millisecondsOf(granted.wait)});
}

void SendPermits::take(const PermitReply &reply, Instant now)
{
    const auto found = std::ranges::find_if(
        m_queries, [&](const Query &query) { return query.message.permit == reply.permit; });
    if (found == m_queries.end())
        return;
    const Query query = *found;
    m_queries.erase(found);
    const auto issuer = std::ranges::find(query.asked, reply.member, &LimitPeer::member);
    if (issuer == query.asked.end())
        return;
    const PermitReport unused {reply.permit, query.message.request, PermitUse::Unused, 0, 0};
    for (const LimitPeer &other : query.asked) {
        if (other.member != reply.member && !query.message.isShared)
            m_messenger.send(other.address, unused);
    }
    if (reply.outcome == PermitOutcome::Granted)
        hold(query, issuer->address, now);
    if (reply.isSound)
        markSound(query.message.request, now);
    m_listener.onPermitDecided(query.exchange,
                               {.outcome = reply.outcome,
                                .source = PermitSource::Other,
                                .permit = reply.permit,
                                .waited = now - query.since,
                                .queries = static_cast<unsigned>(query.asked.size()),
                                .retryAfter = std::chrono::milliseconds(reply.waitMs)});
}

void SendPermits::take(const PermitReport &report, Instant now)
{
    m_issuer.take(report, now);
    if (report.use == PermitUse::Crashed)
        m_announcer.recordCrash(report.request, report.instance,
                                now - std::chrono::milliseconds(report.ageMs), now);
}

void SendPermits::review(const std::vector<LiveDaemon> &live, bool reachesFleet, Instant now)
{
    m_reachesFleet = reachesFleet;
    m_others.resize(live.size());
    std::ranges::transform(live, m_others.begin(), &LiveDaemon::peer);
    for (const ExpiredPermit &expired : m_issuer.review(now)) {
        m_announcer.recordCrash(expired.request, expired.permit, expired.granted, now);
        m_listener.onPermitExpired(expired);
    }
    std::erase_if(m_held, [now](const auto &entry) {
        return entry.second.lost != Instant() && now - entry.second.lost > QuestionTime;
    });
    std::erase_if(m_silentUntil, [now](const auto &entry) { return entry.second <= now; });
}

void SendPermits::reviewQueries(Instant now)
{
    std::vector<std::pair<ExchangeId, PermitDecision>> decided;
    for (Query &query : m_queries) {
        if (now - query.sent < AnswerTime)
            continue;
        m_silentUntil[query.asked.back().member] = now + SilentTime;
        if (const std::optional<PermitDecision> decision = proceed(query, now))
            decided.emplace_back(query.exchange, *decision);
    }
    std::erase_if(m_queries, [&](const Query &query) {
        return std::ranges::find(decided, query.exchange, [](const auto &one) { return one.first; })
            != decided.end();
    });
    for (const auto &[exchange, decision] : decided)
        m_listener.onPermitDecided(exchange, decision);
}

std::optional<Instant> SendPermits::nextReview() const
{
    std::optional<Instant> next;
    for (const Query &query : m_queries)
        next = std::min(next.value_or(Instant::max()), query.sent + AnswerTime);
    return next;
}

} // namespace Apricothook
