#pragma once

#include <apricothook/dispatch/apricothook_grantor_ranking.hpp>
#include <apricothook/dispatch/apricothook_suspect_traits.hpp>

#include <map>

namespace Apricothook {

/** Notified when this daemon's knowledge of a suspect trait has changed. */
class SuspectListener
{
public:
    virtual ~SuspectListener() = default;
    /** `isOwn`: learned by this daemon itself, not from another one. */
    virtual void onSuspectChanged(std::uint64_t trait, const TrialDecision &decision, bool isOwn)
        = 0;
};

/** A live daemon process, as far as the exchange of crashes is concerned. */
struct LiveDaemon
{
    LimitPeer peer;
    /** Distinguishes the processes of a daemon that was restarted. */
    std::uint64_t process = 0;

    auto operator<=>(const LiveDaemon &) const = default;
};

/**
 * Lets all daemons know the traits of requests that crash their targets.
 *
 * A crash takes many innocent requests along, so the first one under a trait is told only to its
 * trackers: the daemons that rank first for the limit of its trials. A daemon that knows of a
 * second announces the trait to all daemons, as well as each further crash, each trial before it
 * begins, and the end of the suspicion. Announcements are repeated, as datagrams are lost.
 *
 * A daemon that has just started asks others for the suspects before it sends a request, and
 * trackers tell it when they see it.
 */
class SuspectAnnouncer
{
public:
    /** Daemons that collect the crashes under a trait; the first of them grants its trials. */
    static constexpr std::size_t Trackers = 3;
    /** Time until an announcement is repeated first, and from then on. */
    static constexpr std::chrono::milliseconds FirstRepetition {200};
    static constexpr std::chrono::seconds RepetitionInterval {1};
    static constexpr unsigned Repetitions = 3;
    /** A daemon that was cut off must know of a trial before it begins another one. */
    static constexpr unsigned TrialRepetitions = 10;
    /** Daemons that a daemon asks for the suspects at a time, and the time until it asks again. */
    static constexpr std::size_t QueriedDaemons = 3;
    static constexpr std::chrono::milliseconds QueryInterval {100};
    /** Time for an answer; if the whole fleet has just started, there is none. */
    static constexpr std::chrono::milliseconds AnswerTime {300};
    /** Time after its start in which a daemon that finds no other doesn't know the suspects. */
    static constexpr std::chrono::seconds LongestUninformed {3};

    /**
     * `self`: this daemon's datagrams. `ranking`: of the limits of the fleet; must live as long as
     * this object.
     */
    SuspectAnnouncer(LimitPeer self, const GrantorRanking &ranking, LimitMessenger &messenger,
                     RandomSource &random, SuspectListener &listener);

    /**
     * A target crashed at `crashed` while it was running requests with the trait, of the customer
     * `origin` or of several.
     */
    void recordCrash(std::uint64_t trait, std::uint64_t instance, Instant crashed, Instant now,
                     std::uint64_t origin = SuspectTraits::SeveralCustomers);
    /** Announces a trial, which may begin at once, and returns its number. */
    std::uint64_t startTrial(std::uint64_t trait, Instant now);
    void withdrawTrial(std::uint64_t trait, std::uint64_t trial, Instant now);
    /** A target has answered a request with the trait, and began to at `began` or later. */
    void recordAnswer(std::uint64_t trait, Instant began, Instant now);
    void take(const CrashNotice &notice, Instant now);
    /** Tells the daemon what is known of the trait; to be called before it is asked for units. */
    void inform(const Endpoint &daemon, std::uint64_t trait, Instant now);
    void take(const SuspectQuery &query, Instant now);
    void take(const SuspectReply &reply, Instant now);
    /**
     * This daemon has just started, and others may know suspects. `isFirstStart`: the whole fleet
     * starts for the first time, so nothing can have been forgotten.
     */
    void joinFleet(Instant now, bool isFirstStart);
    /**
     * Repeats announcements, and informs new daemons; to be called several times a second.
     * `knowsFleet`: this daemon has heard from the others.
     */
    void review(const std::vector<LiveDaemon> &live, bool knowsFleet, Instant now);

    const SuspectTraits &traits() const { return m_traits; }
    /** Whether the request may be sent; Unknown until this daemon has been told the suspects. */
    TrialDecision decide(const RequestTraits &request, Instant now) const;
    bool isInformed() const { return !m_joined; }
    /** Whether the fleet's memory is so short that it may have forgotten crashes. */
    bool isCautious(Instant now) const { return m_traits.isCautious(now); }
    /** Since when this daemon, or one that it asked after its start, has remembered suspects. */
    Instant remembersSince() const { return m_remembersSince; }

private:
    struct Repetition
    {
        bool toAll = false;
        unsigned left = 0;
        Instant due {};
    };

    /** Tells the trackers of the trait, or all daemons, and repeats it. */
    void spread(std::uint64_t trait, bool toAll, unsigned repetitions, Instant now);
    void spreadChange(std::uint64_t trait, bool toAll, Instant now);
    void send(std::uint64_t trait, bool toAll, Instant now);
    void sendToAll(std::uint64_t trait, Instant now);
    void sendToTrackers(std::uint64_t trait, Instant now);
    std::vector<LimitPeer> trackers(std::uint64_t trait) const;
    void repeatAnnouncements(Instant now);
    /** Informs the daemons that are new among the live ones, and new trackers. */
    void informNewDaemons(const std::vector<LiveDaemon> &live, Instant now);
    std::vector<LimitPeer> newDaemons(const std::vector<LiveDaemon> &live);
    void askForSuspects(const std::vector<LiveDaemon> &live, bool knowsFleet, Instant now);
    void report(std::uint64_t trait, Instant now, bool isOwn);
    void setRemembersSince(Instant time);
    /** Time for which suspects have been remembered, as other daemons are told. */
    Duration rememberedFor(Instant now) const;

    const LimitPeer m_self;
    const GrantorRanking &m_ranking;
    LimitMessenger &m_messenger;
    RandomSource &m_random;
    SuspectListener &m_listener;
    SuspectTraits m_traits;
    /** Announcements that are to be repeated, by trait. */
    std::map<std::uint64_t, Repetition> m_repetitions;
    /** Process that was last seen live, by member. */
    std::map<std::uint64_t, std::uint64_t> m_knownProcesses;
    Instant m_lastCleanup {};
    /** When this daemon started; empty once it has been told the suspects. */
    std::optional<Instant> m_joined;
    Instant m_remembersSince {};
    /** Nothing happened before m_remembersSince. */
    bool m_isFirstStart = true;
    std::optional<Instant> m_firstQuery;
    Instant m_lastQuery {};
};

} // namespace Apricothook
