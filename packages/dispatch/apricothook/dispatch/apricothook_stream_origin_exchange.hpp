#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/dispatch/apricothook_stream_origins.hpp>
#include <apricothook/dispatch/apricothook_suspect_announcer.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Who knew what a stream began at. */
enum class StreamOriginSource {
    Self,        ///< This daemon.
    Other,       ///< A daemon that was asked.
    SoleVersion, ///< The caller names no stream, but the service has had one version only.
    Nobody,      ///< No daemon that answered.
};

std::string_view nameOf(StreamOriginSource source);

/** What a stream began at, if some daemon knows it. */
struct StreamOriginDecision
{
    std::optional<StreamOrigin> origin;
    StreamOriginSource source = StreamOriginSource::Nobody;
    /** Queries that were sent, and those that were answered. */
    unsigned queries = 0;
    unsigned answers = 0;
    Duration waited {};
    /** Time for which the origin is remembered further. */
    Duration lifetime {};

    auto operator<=>(const StreamOriginDecision &) const = default;
};

/** Receives the decisions that find() could not return at once. */
class StreamOriginListener
{
public:
    virtual ~StreamOriginListener() = default;
    virtual void onOriginDecided(ExchangeId exchange, const StreamOriginDecision &decision) = 0;
};

/**
 * Remembers, over the fleet, what streams began at.
 *
 * A caller may take up a stream at any daemon, and the one that served it may be gone. It tells the
 * origin to the stream's holders before it forwards the first event: the live daemons that rank
 * first by the stream's rendezvous weight. It tells them once more, and tells those that become
 * holders while the stream goes on. A daemon that doesn't know the origin asks the holders, then
 * those that rank next. Only an origin that some daemon remembers is ever returned.
 */
class StreamOriginExchange
{
public:
    /** Other daemons that remember a stream. */
    static constexpr std::size_t Holders = 6;
    /** Daemons that are asked for the origin of a stream. */
    static constexpr std::size_t MaximumAsked = 24;
    /** Time after which the holders of a stream that goes on are told once more. */
    static constexpr std::chrono::milliseconds RepetitionTime {1000};
    /** Time after which further daemons are asked, and those that didn't answer once more. */
    static constexpr std::chrono::milliseconds AnswerTime {50};
    static constexpr std::chrono::milliseconds LongestQuery {300};
    /** Longest time for which a stream is remembered. */
    static constexpr std::chrono::minutes LongestLifetime {15};

    StreamOriginExchange(LimitPeer self, LimitMessenger &messenger, StreamOriginListener &listener);

    /**
     * The first event of the stream is about to be forwarded, or that of an answer that takes it
     * up. Returns the number of daemons that are told.
     */
    std::size_t begin(ExchangeId exchange, std::uint64_t stream, const StreamOrigin &origin,
                      Duration lifetime, Instant now);
    /** The answer has ended; daemons that become holders later aren't told. */
    void end(ExchangeId exchange) { m_open.erase(exchange); }
    /** Returns the decision, or nothing if other daemons are asked. */
    std::optional<StreamOriginDecision> find(ExchangeId exchange, std::uint64_t stream,
                                             Instant now);
    void cancel(ExchangeId exchange);

    void take(const StreamOriginNotice &notice, Instant now);
    void take(const StreamOriginQuery &query, Instant now);
    void take(const StreamOriginReply &reply, Instant now);
    /** Other daemons may live that this one doesn't know yet. */
    void joinFleet() { m_knowsFleet = false; }
    /**
     * `live`: the other daemons that are heard; `knowsFleet`: there aren't others that this daemon
     * has never heard of. To be called several times a second.
     */
    void review(const std::vector<LiveDaemon> &live, bool knowsFleet, Instant now);
    /** Asks further daemons where those that were asked haven't answered in time. */
    void reviewQueries(Instant now);
    /** Next time at which reviewQueries() has something to do; empty if nothing is pending. */
    std::optional<Instant> nextReview() const;
    std::size_t remembered() const { return m_origins.size(); }
    /** Streams that were forgotten too early because too many were to be remembered. */
    std::uint64_t forgotten() const { return m_forgotten; }

private:
    /** A stream that this daemon forwards. */
    struct OpenStream
    {
        std::uint64_t stream = 0;
        RememberedOrigin remembered;
        /** Processes that were told. */
        std::vector<LiveDaemon> told;
        Instant repetition {};
        bool isRepeated = false;
    };
    struct Query
    {
        ExchangeId exchange;
        std::uint64_t stream = 0;
        Instant since {};
        Instant sent {};
        unsigned queries = 0;
        /** Daemons that were asked, and whether they answered. */
        std::vector<std::pair<LimitPeer, bool>> asked;
    };

    void put(const StreamOriginNotice &notice, Instant now);
    /** The other live daemons, `count` of them at most, highest rank first. */
    std::vector<LiveDaemon> ranked(std::uint64_t stream, std::size_t count) const;
    /** Tells the holders that weren't told yet. */
    void tellHolders(OpenStream &open, Instant now);
    /** Asks the next daemons, and again those that haven't answered; false if there are none. */
    bool ask(Query &query, Instant now);
    StreamOriginDecision unknown(const Query &query, Instant now) const;

    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    StreamOriginListener &m_listener;
    StreamOrigins m_origins;
    std::uint64_t m_forgotten = 0;
    std::vector<LiveDaemon> m_live;
    bool m_knowsFleet = true;
    std::map<ExchangeId, OpenStream> m_open;
    std::vector<Query> m_queries;
};

} // namespace Apricothook
