#pragma once

#include <apricothook_emulated_limits.hpp>

#include <apricothook/dispatch/apricothook_request_permits.hpp>
#include <apricothook/dispatch/apricothook_service_losses.hpp>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace Apricothook {

/**
 * Daemons and targets of one service with requests that crash each target that runs them, beside
 * harmless ones, in virtual time.
 *
 * Each daemon decides on its requests as the gateway does. A crashed target starts again after a
 * while under a new number, which all daemons then know, and all that ran on it is lost. A crash
 * shows in the published list of targets after LapseTime. The network between the daemons is that
 * of EmulatedLimits.
 */
class EmulatedSuspects
{
public:
    /** Time between the crash of a target and the conclusion of a daemon that it has crashed. */
    static constexpr std::chrono::milliseconds DetectionTime {150};
    /** Time between the crash of a target and its absence from the published list. */
    static constexpr std::chrono::seconds LapseTime {3};
    /** Time in which a daemon that was cut off learns what happened meanwhile. */
    static constexpr std::chrono::seconds ReunionTime {3};

    EmulatedSuspects(std::size_t daemons, std::size_t targets, std::uint64_t seed);
    ~EmulatedSuspects();

    /** A new request that crashes its targets, and is repeated by callers from now on. */
    std::uint64_t addCrashing(double perSecond) { return addRequest(perSecond, true); }
    /** A new request that is answered, and is repeated by callers from now on. */
    std::uint64_t addHarmless(double perSecond) { return addRequest(perSecond, false); }
    /** Requests that are all different and name the parts of their prompts, from now on. */
    std::uint64_t addFresh(double perSecond, const std::vector<std::uint64_t> &parts);
    /** The customer of the requests, from now on; all have the same one at first. */
    void setCustomer(std::uint64_t request, std::uint64_t customer)
    {
        m_requests[request].customer = customer;
    }
    /** From now on requests with the part crash their targets, or no longer do. */
    void setCrashingPart(std::uint64_t part, bool crashes);
    /** From now on the request crashes its targets, or no longer does. */
    void setCrashing(std::uint64_t request, bool crashes);
    void stopCallers(std::uint64_t request) { m_requests[request].perSecond = 0; }
    void run(Duration time);

    void killDaemon(std::size_t daemon);
    /** Starts the daemon anew, with empty memory. */
    void restartDaemon(std::size_t daemon);
    void setFrozen(std::size_t daemon, bool frozen);
    /** Marks daemons whose sends don't count until ReunionTime after the end of the cut. */
    void setCutOff(const std::vector<std::size_t> &daemons, bool isCut);
    /** These targets crash at once, whatever they run. */
    void crashTargets(const std::vector<std::size_t> &targets);
    /** Longest time until a crashed target has started again. */
    void setLongestRestart(Duration time) { m_longestRestart = time; }

    std::size_t crashes(std::uint64_t request) const;
    /**
     * Largest number of sends of the request that reached a target within any TrialWindow, of those
     * more than `spread` after its third crash. Sends of daemons that were cut off in the last
     * ReunionTime don't count.
     */
    std::size_t mostSendsAfterThirdCrash(std::uint64_t request, Duration spread) const;
    /** The same for all sends more than `spread` after the crash of the given number, from one. */
    std::size_t sendsAfterCrash(std::uint64_t request, std::size_t crash, Duration spread) const;
    /** When the crash of the given number, from one, happened. */
    Instant crashTime(std::uint64_t request, std::size_t crash) const;
    /** Sends of the request that reached a target since the given time. */
    std::size_t sendsSince(std::uint64_t request, Instant time) const;
    /** Outcomes of the request since the given time. */
    std::size_t answeredSince(std::uint64_t request, Instant time) const;
    std::size_t refusedSince(std::uint64_t request, Instant time) const;
    Instant now() const { return m_fleet.now(); }
    std::size_t targets() const { return m_targets.size(); }

    EmulatedLimits &fleet() { return m_fleet; }

private:
    struct Daemon;
    struct Request
    {
        double perSecond = 0;
        bool isCrashing = false;
        /** Each arrival has content of its own. */
        bool isFresh = false;
        std::vector<std::uint64_t> parts;
        std::uint64_t customer = 1;
        double due = 0;
        std::vector<Instant> crashed;
        std::vector<Instant> arrived;
        std::vector<Instant> answered;
        std::vector<Instant> refused;
    };
    struct Target
    {
        std::uint64_t instance = 0;
        bool isUp = true;
        Instant restart {};
    };
    /** A request at a target. */
    struct Run
    {
        Instant ends {};
        std::uint64_t request = 0;
        std::uint64_t content = 0;
        /** The trait that it is tried for, if it is. */
        std::uint64_t trait = 0;
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        std::size_t target = 0;
        std::uint64_t instance = 0;
        Instant sent {};
        std::optional<std::uint64_t> trial;
        std::optional<std::uint64_t> permit;
        unsigned attempts = 0;
        bool operator<(const Run &other) const { return other.ends < ends; }
    };
    /** A crash that a daemon is about to notice. */
    struct Notice
    {
        Instant at {};
        Run run;
        Instant crashed {};
        bool operator<(const Notice &other) const { return other.at < at; }
    };
    struct Attempt
    {
        std::uint64_t request = 0;
        /** Hash of what is equal in all its repetitions. */
        std::uint64_t content = 0;
        unsigned attempts = 0;
        Duration held {};
        /** The trait that it is to be tried for. */
        std::uint64_t trait = 0;
    };
    /** What an attempt is sent with; neither while its service is settled. */
    struct Permission
    {
        std::optional<std::uint64_t> trial;
        std::optional<std::uint64_t> permit;
    };
    struct Held
    {
        Instant until {};
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        Attempt attempt;
        bool operator<(const Held &other) const { return other.until < until; }
    };

    std::uint64_t addRequest(double perSecond, bool crashes);
    void step();
    void startDaemon(std::size_t daemon, bool isFirstStart);
    void arriveFromCallers();
    void handle(std::size_t daemon, const Attempt &attempt);
    void onUnitDecided(std::size_t daemon, const Attempt &attempt, const LimitDecision &decision);
    void acquirePermit(std::size_t daemon, const Attempt &attempt);
    void onPermitDecided(std::size_t daemon, const Attempt &attempt,
                         const PermitDecision &decision);
    void send(std::size_t daemon, const Attempt &attempt, const Permission &permission);
    /** Gives back what the attempt wasn't sent with. */
    void giveBack(std::size_t daemon, const Attempt &attempt, const Permission &permission);
    /** The daemons see the changes of the published list. */
    void updateLists();
    void hold(std::size_t daemon, Attempt attempt, const TrialDecision &suspicion);
    void endRuns();
    void crash(std::size_t target);
    void releaseHeld();
    void noticeCrashes();
    RequestTraits traitsOf(std::uint64_t number, std::uint64_t content) const;
    std::uint64_t contentOf(std::uint64_t number, const Request &request);
    bool crashesTargets(const Request &request) const;
    bool isActive(std::size_t daemon, std::uint64_t incarnation) const;
    double uniform();

    EmulatedLimits m_fleet;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Target> m_targets;
    std::map<std::uint64_t, Request> m_requests;
    std::vector<Run> m_runs;
    std::priority_queue<Notice> m_notices;
    std::priority_queue<Held> m_held;
    /** When targets will be missing in the published list. */
    std::queue<Instant> m_lapses;
    Duration m_longestRestart = std::chrono::seconds(3);
    std::uint64_t m_lastInstance = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastArrival = 0;
    std::set<std::uint64_t> m_crashingParts;
    Instant m_lastReview {};
};

} // namespace Apricothook
