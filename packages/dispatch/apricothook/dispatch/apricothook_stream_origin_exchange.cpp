#include <apricothook/dispatch/apricothook_stream_origin_exchange.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

StreamOriginNotice noticeOf(std::uint64_t stream, const RememberedOrigin &remembered, Instant now)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(remembered.until - now).count();
    return {stream, remembered.origin, static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0))};
}

} // namespace

std::string_view nameOf(StreamOriginSource source)
{
    switch (source) {
    case StreamOriginSource::Self:
        return "self";
    case StreamOriginSource::Other:
        return "daemon";
    case StreamOriginSource::SoleVersion:
        return "sole-version";
    case StreamOriginSource::Nobody:
        break;
    }
    return "nobody";
}

StreamOriginExchange::StreamOriginExchange(LimitPeer self, LimitMessenger &messenger,
                                           StreamOriginListener &listener)
    : m_self(std::move(self)), m_messenger(messenger), m_listener(listener)
{
}

std::vector<LiveDaemon> StreamOriginExchange::ranked(std::uint64_t stream, std::size_t count) const
{
    using Rank = std::pair<std::uint64_t, const LiveDaemon *>;
    std::vector<Rank> ranks(m_live.size());
    std::ranges::transform(m_live, ranks.begin(), [stream](const LiveDaemon &daemon) {
        return Rank(rendezvousWeight(stream, daemon.peer.member), &daemon);
    });
    const std::size_t kept = std::min(count, ranks.size());
    std::ranges::partial_sort(ranks, ranks.begin() + static_cast<std::ptrdiff_t>(kept),
                              std::greater());
    std::vector<LiveDaemon> best(kept);
    std::transform(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(kept), best.begin(),
                   [](const Rank &rank) { return *rank.second; });
    return best;
}

void StreamOriginExchange::put(const StreamOriginNotice &notice, Instant now)
{
    const auto lifetime = std::min<std::chrono::milliseconds>(
        std::chrono::milliseconds(notice.lifetimeMs), LongestLifetime);
    if (!m_origins.put(notice.stream, notice.origin, now + lifetime))
        ++m_forgotten;
}

std::size_t StreamOriginExchange::begin(ExchangeId exchange, std::uint64_t stream,
                                        const StreamOrigin &origin, Duration lifetime, Instant now)
{
    OpenStream &open = m_open[exchange];
    open = {stream,
            {origin, now + std::min<Duration>(lifetime, LongestLifetime)},
            {},
            now + RepetitionTime,
            false};
    put(noticeOf(stream, open.remembered, now), now);
    tellHolders(open, now);
    return open.told.size();
}

void StreamOriginExchange::tellHolders(OpenStream &open, Instant now)
{
    const StreamOriginNotice notice = noticeOf(open.stream, open.remembered, now);
    for (const LiveDaemon &holder : ranked(open.stream, Holders)) {
        if (std::ranges::find(open.told, holder) != open.told.end())
            continue;
        open.told.push_back(holder);
        m_messenger.send(holder.peer.address, notice);
    }
}

std::optional<StreamOriginDecision> StreamOriginExchange::find(ExchangeId exchange,
                                                               std::uint64_t stream, Instant now)
{
    if (const std::optional<RememberedOrigin> known = m_origins.find(stream, now))
        return StreamOriginDecision {.origin = known->origin,
                                     .source = StreamOriginSource::Self,
                                     .lifetime = known->until - now};
    Query query;
    query.exchange = exchange;
    query.stream = stream;
    query.since = now;
    if (!ask(query, now) && m_knowsFleet)
        return unknown(query, now);
    m_queries.push_back(std::move(query));
    return std::nullopt;
}

bool StreamOriginExchange::ask(Query &query, Instant now)
{
    query.sent = now;
    const StreamOriginQuery message {m_self.address, query.stream};
    const auto send = [&](const LimitPeer &peer) {
        ++query.queries;
        m_messenger.send(peer.address, message);
    };
    bool isPending = false;
    for (const auto &[peer, hasAnswered] : query.asked) {
        if (hasAnswered)
            continue;
        isPending = true;
        send(peer);
    }
    std::size_t added = 0;
    const std::size_t most = std::min(Holders, MaximumAsked - query.asked.size());
    for (const LiveDaemon &daemon : ranked(query.stream, query.asked.size() + most)) {
        const auto isAsked = [&](const auto &asked) { return asked.first == daemon.peer; };
        if (added == most || std::ranges::any_of(query.asked, isAsked))
            continue;
        ++added;
        query.asked.emplace_back(daemon.peer, false);
        send(daemon.peer);
    }
    return isPending || added > 0;
}

StreamOriginDecision StreamOriginExchange::unknown(const Query &query, Instant now) const
{
    const auto answers
        = std::ranges::count_if(query.asked, [](const auto &asked) { return asked.second; });
    return {.origin = std::nullopt,
            .source = StreamOriginSource::Nobody,
            .queries = query.queries,
            .answers = static_cast<unsigned>(answers),
            .waited = now - query.since};
}

void StreamOriginExchange::cancel(ExchangeId exchange)
{
    std::erase_if(m_queries, [&](const Query &query) { return query.exchange == exchange; });
}

void StreamOriginExchange::take(const StreamOriginNotice &notice, Instant now)
{
    put(notice, now);
}

void StreamOriginExchange::take(const StreamOriginQuery &query, Instant now)
{
    const std::optional<RememberedOrigin> known = m_origins.find(query.stream, now);
    StreamOriginReply reply {m_self.member, known.has_value(), {query.stream, {}, 0}};
    if (known)
        reply.notice = noticeOf(query.stream, *known, now);
    m_messenger.send(query.sender, reply);
}

void StreamOriginExchange::take(const StreamOriginReply &reply, Instant now)
{
    std::vector<std::pair<ExchangeId, StreamOriginDecision>> decided;
    const auto isConcerned = [&](Query &query) {
        if (query.stream != reply.notice.stream)
            return false;
        const auto asked = std::ranges::find_if(
            query.asked, [&](const auto &one) { return one.first.member == reply.member; });
        if (asked == query.asked.end())
            return false;
        asked->second = true;
        return true;
    };
    for (Query &query : m_queries) {
        if (!isConcerned(query))
            continue;
        StreamOriginDecision decision = unknown(query, now);
        const bool isLast
            = std::ranges::all_of(query.asked, [](const auto &one) { return one.second; });
        if (reply.isKnown) {
            decision.origin = reply.notice.origin;
            decision.source = StreamOriginSource::Other;
            decision.lifetime = std::chrono::milliseconds(reply.notice.lifetimeMs);
        } else if (!isLast || ask(query, now) || !m_knowsFleet) {
            continue;
        }
        decided.emplace_back(query.exchange, decision);
    }
    if (reply.isKnown && !decided.empty())
        put(reply.notice, now);
    for (const auto &[exchange, decision] : decided) {
        cancel(exchange);
        m_listener.onOriginDecided(exchange, decision);
    }
}

void StreamOriginExchange::review(const std::vector<LiveDaemon> &live, bool knowsFleet, Instant now)
{
    m_knowsFleet = knowsFleet;
    const bool isChanged = m_live != live;
    if (isChanged)
        m_live = live;
    m_origins.review(now);
    for (auto &[exchange, open] : m_open) {
        const bool isDue = !open.isRepeated && open.repetition <= now;
        if (isDue) {
            open.isRepeated = true;
            open.told.clear();
        } else if (isChanged) {
            // A daemon that wasn't live for a while may have missed what it was told.
            std::erase_if(open.told, [&](const LiveDaemon &daemon) {
                return std::ranges::find(m_live, daemon) == m_live.end();
            });
        }
        if (isDue || isChanged)
            tellHolders(open, now);
    }
}

void StreamOriginExchange::reviewQueries(Instant now)
{
    std::vector<std::pair<ExchangeId, StreamOriginDecision>> decided;
    for (Query &query : m_queries) {
        if (now - query.sent < AnswerTime)
            continue;
        if (now - query.since >= LongestQuery || (!ask(query, now) && m_knowsFleet))
            decided.emplace_back(query.exchange, unknown(query, now));
    }
    for (const auto &[exchange, decision] : decided) {
        cancel(exchange);
        m_listener.onOriginDecided(exchange, decision);
    }
}

std::optional<Instant> StreamOriginExchange::nextReview() const
{
    std::optional<Instant> next;
    for (const Query &query : m_queries)
        next = std::min(next.value_or(Instant::max()), query.sent + AnswerTime);
    return next;
}

} // namespace Apricothook
