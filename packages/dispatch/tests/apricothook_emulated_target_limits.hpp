#pragma once

#include <apricothook_emulated_limits.hpp>

#include <apricothook/dispatch/apricothook_target_limit_announcer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace Apricothook {

/**
 * Daemons before one target that names a limit in its answers, in virtual time.
 *
 * Each daemon has callers whose requests wait until the target's limit has a unit for them. The
 * network between the daemons is that of EmulatedLimits.
 */
class EmulatedTargetLimits
{
public:
    EmulatedTargetLimits(std::size_t daemons, std::uint64_t seed);
    ~EmulatedTargetLimits();

    /** `requestsPerSecond`: of the callers of all daemons together. */
    void run(Duration time, double requestsPerSecond);
    /** From now on the target names this limit; none if empty. */
    void setLimit(std::optional<double> perSecond);
    /** The target's process starts anew: it names no limit and has another instance. */
    void restartTarget();
    /** Starts the daemon anew; the fleet's view of it is that of EmulatedLimits. */
    void restartDaemon(std::size_t daemon);
    void killDaemon(std::size_t daemon);
    void setFrozen(std::size_t daemon, bool frozen);
    /** The target's answers to the daemon are lost, and its requests to the target. */
    void setCutOffFromTarget(std::size_t daemon, bool isCut);
    /** Only these daemons have callers; all if empty. */
    void setCallers(std::vector<std::size_t> daemons) { m_callers = std::move(daemons); }

    /** Live daemons that hold the present limit of the target for it. */
    std::size_t informed() const;
    /**
     * Largest number of requests that the target got within any window from daemons that knew its
     * limit for half a second, divided by what the limits in that window allow.
     */
    double worstRatio() const;
    /** Requests that the target got since the given time. */
    std::size_t arrivedSince(Instant time) const;
    Instant now() const { return m_fleet.now(); }

    EmulatedLimits &fleet() { return m_fleet; }

private:
    struct Daemon;
    struct Answer
    {
        Instant at {};
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t target = 0;
        std::optional<double> perSecond;
        Instant sent {};
        bool operator<(const Answer &other) const { return other.at < at; }
    };
    struct NamedLimit
    {
        std::uint64_t target = 0;
        std::optional<double> perSecond;
        Instant since {};
    };
    struct Arrival
    {
        Instant at {};
        std::uint64_t target = 0;
        bool isFromInformed = false;
    };

    void step(double requestsPerSecond);
    void startDaemon(std::size_t daemon);
    void sendPending(std::size_t daemon);
    void arrive(std::size_t daemon);
    void deliverAnswers();
    double allowed(std::uint64_t target, Instant until) const;
    double uniform();

    EmulatedLimits m_fleet;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::size_t> m_callers;
    std::priority_queue<Answer> m_answers;
    std::vector<NamedLimit> m_limits;
    std::vector<Arrival> m_arrivals;
    std::uint64_t m_target = 1;
    double m_due = 0;
    std::uint64_t m_lastExchange = 0;
};

} // namespace Apricothook
