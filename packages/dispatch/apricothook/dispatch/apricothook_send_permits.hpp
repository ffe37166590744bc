#pragma once

#include <apricothook/dispatch/apricothook_permit_issuer.hpp>
#include <apricothook/dispatch/apricothook_suspect_announcer.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Which daemon decided on a permit. */
enum class PermitSource {
    Self,  ///< This daemon, which issues the request's permits.
    Other, ///< Another daemon, which does.
    Alone, ///< This daemon, because no other one answered.
};

std::string_view nameOf(PermitSource source);
std::string_view nameOf(PermitOutcome outcome);

/** Whether a request may be sent, and who decided it. */
struct PermitDecision
{
    PermitOutcome outcome = PermitOutcome::Busy;
    PermitSource source = PermitSource::Self;
    std::uint64_t permit = 0;
    /** How long the request waited for the decision, and how many daemons were asked. */
    Duration waited {};
    unsigned queries = 0;
    /** Time after which the decision may be another; zero if granted. */
    Duration retryAfter {};

    auto operator<=>(const PermitDecision &) const = default;
};

/** Receives the decisions that acquire() could not return at once. */
class PermitListener
{
public:
    virtual ~PermitListener() = default;
    virtual void onPermitDecided(ExchangeId exchange, const PermitDecision &decision) = 0;
    /** A daemon that holds a permit reported nothing of it, so its send counts as a crash. */
    virtual void onPermitExpired(const ExpiredPermit &permit) = 0;
};

/**
 * Lets a request of an unsettled service be sent only with a permit of the one daemon that issues
 * this request's permits.
 *
 * Announcements of crashes may be late or lost. The issuer needs none: it knows of every send,
 * grants one at a time until a target has begun to answer, and takes a permit of which it hears
 * nothing for a crash. It is the first live daemon by the request's rendezvous weight. If it
 * doesn't answer, the next ones are asked; a daemon that reaches no other issues its own permits,
 * and none for a request that has crashed a target.
 */
class SendPermits
{
public:
    static constexpr std::chrono::milliseconds AnswerTime {80};
    /** Daemons that are asked for a permit, one after the other. */
    static constexpr std::size_t MaximumQueries = 3;
    /** Time for which a daemon that didn't answer isn't asked. */
    static constexpr std::chrono::seconds SilentTime {1};
    /** Time within which the cause of a lost send is known, or never will be. */
    static constexpr std::chrono::seconds QuestionTime {15};
    /** Time after the end of a request until its permit's use has been reported. */
    static constexpr std::chrono::seconds ReportTime {5};
    /** Time until a request that has crashed a target is tried without a fleet again. */
    static constexpr std::chrono::seconds AlonePause {1};
    static constexpr std::size_t MaximumSound = 4096;

    SendPermits(LimitPeer self, LimitMessenger &messenger, RandomSource &random,
                PermitListener &listener, SuspectAnnouncer &announcer);

    /** Whether the content needs a permit in a service that last lost a target at `lastLoss`. */
    bool isNeeded(std::uint64_t request, Instant lastLoss) const;
    /**
     * Asks for a permit to send the request, which ends after `lifetime` at the latest. Returns the
     * decision if this daemon is the issuer.
     */
    std::optional<PermitDecision> acquire(ExchangeId exchange, std::uint64_t request,
                                          Duration lifetime, Instant now);
    /**
     * Asks the daemon that hears first of crashes under the trait, which several requests may have,
     * whether it knows of more than this one. Such a permit is granted or refused, but not held.
     */
    std::optional<PermitDecision> inquire(ExchangeId exchange, std::uint64_t trait, Instant now);
    void cancel(ExchangeId exchange);
    /** Reports the use of a granted permit; `instance`: targetHash() of the target. */
    void report(std::uint64_t permit, PermitUse use, std::uint64_t instance, Instant now);
    /** A target crashed, or survived, sends that were reported as lost there. */
    void conclude(std::uint64_t request, std::uint64_t instance, bool hasCrashed, Instant crashed,
                  Instant now);
    /** The request is known to have crashed a target. */
    void recordCrash(std::uint64_t request);

    void take(const PermitRequest &request, Instant now);
    void take(const PermitReply &reply, Instant now);
    void take(const PermitReport &report, Instant now);
    /**
     * `live`: the other daemons that are heard; `reachesFleet`: there aren't many others. To be
     * called several times a second.
     */
    void review(const std::vector<LiveDaemon> &live, bool reachesFleet, Instant now);
    /** Asks the next daemon where one hasn't answered in time. */
    void reviewQueries(Instant now);
    /** Next time at which reviewQueries() has something to do; empty if nothing is pending. */
    std::optional<Instant> nextReview() const;

private:
    struct Query
    {
        ExchangeId exchange;
        PermitRequest message;
        std::vector<LimitPeer> asked;
        Instant since {};
        Instant sent {};
    };
    /** A permit that this daemon holds. */
    struct Held
    {
        std::uint64_t request = 0;
        /** The daemon that granted it; empty if this one did. */
        std::optional<Endpoint> issuer;
        Instant granted {};
        /** Target at which the send was lost; zero if it wasn't. */
        std::uint64_t instance = 0;
        Instant lost {};
    };

    std::optional<PermitDecision> begin(Query query, Instant now);
    bool isSilent(std::uint64_t member, Instant now) const;
    bool hearsNobody(Instant now) const;
    std::optional<LimitPeer> nextIssuer(const Query &query, Instant now) const;
    /** Asks the next daemon, or decides; returns the decision. */
    std::optional<PermitDecision> proceed(Query &query, Instant now);
    PermitDecision decideHere(const Query &query, PermitSource source, Instant now);
    PermitGrant grant(const PermitRequest &request, Instant now);
    void hold(const Query &query, const std::optional<Endpoint> &issuer, Instant now);
    void send(const Held &held, const PermitReport &report, Instant now);
    void markSound(std::uint64_t request, Instant since);

    const LimitPeer m_self;
    LimitMessenger &m_messenger;
    PermitListener &m_listener;
    SuspectAnnouncer &m_announcer;
    PermitIssuer m_issuer;
    std::vector<LimitPeer> m_others;
    bool m_reachesFleet = true;
    std::vector<Query> m_queries;
    std::map<std::uint64_t, Held> m_held;
    /** Requests that a target has answered, and when they were sent to it. */
    std::map<std::uint64_t, Instant> m_sound;
    std::map<std::uint64_t, Instant> m_silentUntil;
    /** Begins at random, so that no two daemons use the same numbers. */
    std::uint64_t m_lastPermit;
};

} // namespace Apricothook
