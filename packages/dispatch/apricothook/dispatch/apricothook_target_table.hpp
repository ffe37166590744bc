#pragma once

#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>
#include <apricothook/dispatch/apricothook_freed_slots.hpp>
#include <apricothook/dispatch/apricothook_policy_switches.hpp>
#include <apricothook/dispatch/apricothook_recent_sends.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/dispatch/apricothook_slot_fill.hpp>
#include <apricothook/dispatch/apricothook_slot_partition.hpp>
#include <apricothook/dispatch/apricothook_slot_shares.hpp>
#include <apricothook/dispatch/apricothook_slot_turns.hpp>
#include <apricothook/dispatch/apricothook_stall_forecast.hpp>
#include <apricothook/dispatch/apricothook_target_constraint.hpp>
#include <apricothook/dispatch/apricothook_target_speed.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/** Requests of one member at a target; part of its heartbeat. */
struct TargetLoad
{
    std::uint64_t target = 0; ///< targetHash() of the instance.
    std::uint32_t running = 0;
    /** Tokens of prompts that were sent to the target and have no first event yet. */
    std::uint64_t unreadTokens = 0;

    auto operator<=>(const TargetLoad &) const = default;
};

/**
 * Hash of a target's instance, for messages between daemons. Load that is reported for a previous
 * instance doesn't count for the current one, which would look busy with requests that it never
 * received.
 */
std::uint64_t targetHash(const TargetInstance &instance);
/** Identifies the limit of requests that the target, given by its targetHash(), may reject. */
std::uint64_t rejectionLimitHash(std::uint64_t target);

/** The size of a request, as far as targets are concerned. */
struct RequestSize
{
    std::uint64_t promptTokens = 0;
    /** Expected events of a stream; the estimate is often far off. */
    std::uint64_t events = 0;
    bool isStream = false;

    auto operator<=>(const RequestSize &) const = default;
};

/** Outcome of a request at a target, as far as the target is responsible. */
enum class TargetOutcome {
    Served,
    Failed,      ///< An error of the target, or a broken or unreadable answer.
    Unreachable, ///< The target accepts no connections, or doesn't respond.
    Lost,        ///< No connection or no response; the target or the path to it is at fault.
    Full,        ///< The target reported that it had no capacity.
    Cancelled,   ///< Ended by this daemon; tells nothing about the target.
};

/** A target with its load and state as known to this daemon. */
struct TrackedTarget
{
    TargetEntry entry;
    /** Slots that this daemon's cell uses; the others belong to other cells. */
    std::uint32_t cellSlots = 0;
    std::uint32_t ownRequests = 0;
    std::uint32_t requestsOfOthers = 0;
    /** Prompt tokens of this daemon's requests without a first event. */
    std::uint64_t pendingPromptTokens = 0;
    /** The same for the other daemons of the cell. */
    std::uint64_t promptTokensOfOthers = 0;
    /** The slots that are free for this daemon's cell. */
    FreedSlots freed;
    TargetSpeed speed;
    /** Until this time the target is chosen only if no other is left. */
    Instant avoidedUntil {};
    std::uint32_t failuresInRow = 0;
    /**
     * The target counts as cold until this time, according to its entries and the end of an
     * evacuation.
     */
    Instant coldUntil {};
    /** The target is cold and can handle only a few requests. */
    bool isCold = false;
    /** Requests that this daemon may send to the target in any one second. */
    std::uint32_t sendsPerSecond = ColdTargetLimiter::Unlimited;
    /** This daemon's requests to the target, if its service limits requests to cold targets. */
    RecentSends recentSends;
    /** Requests per second that the target takes from all daemons, if it names a limit. */
    std::optional<double> limitPerSecond;
    /**
     * Requests per second that the target can reject for lack of room, from all daemons, without
     * crashing; empty if it names no such limit.
     */
    std::optional<double> rejectionsPerSecond;
    /** `cellSlots` are this daemon's alone, because targets of the service crash if overloaded. */
    bool hasOwnShare = false;
    /**
     * Set if no slot of the service is this daemon's: each request then needs a unit of these
     * rejections per second, the lowest that a target of the service names.
     */
    std::optional<double> rejectionUnits;
    /** A request of this daemon waits for a unit of the target's limit. */
    bool awaitsUnit = false;
    /** Until this time the target's limit has no unit for this daemon. */
    Instant heldUntil {};

    /** Known requests in the slots that this daemon uses, its own or its cell's. */
    std::uint32_t load() const { return ownRequests + (hasOwnShare ? 0 : requestsOfOthers); }
    /** Used fraction of the target, if other cells use their slots to the same degree. */
    double usedFraction() const { return load() / std::max<double>(cellSlots, 1); }
};

/** Requirements of a request for its target. */
struct TargetRequirements
{
    ServiceId service;
    RequestSize size;
    /** Time left until the first event is due; none is left for a request that is already late. */
    Duration timeToFirstEvent {};
    /** Time left until the complete answer is due. */
    Duration timeToEnd {};
    TargetConstraint constraint;
    /** Other members that have requests waiting for the service which don't rank below this one. */
    std::vector<std::uint64_t> contenders;
};

/** Targets of a service that take new requests of this daemon's cell. */
struct TargetCounts
{
    std::size_t all = 0;
    /** Without those that are avoided after a loss. */
    std::size_t usable = 0;

    auto operator<=>(const TargetCounts &) const = default;
};

/** Totals over the targets of a service that take new requests of this daemon's cell. */
struct ServiceCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    /** Milliseconds for which a request occupies a slot. */
    double meanHoldTime = 0;
    /**
     * Targets of the service, over all cells, that get no requests because their data centre is
     * evacuated.
     */
    std::uint32_t evacuated = 0;
    /** Cold targets of the service, over all cells. */
    std::uint32_t cold = 0;
    /** Targets of this daemon's cell that name a limit. */
    std::uint32_t limited = 0;
};

/** The known targets, their load across all daemons and their speeds. Not thread-safe. */
class TargetTable
{
public:
    /** `self`: memberHash() of this daemon. */
    explicit TargetTable(DataCentreId own, const PolicySwitches &policies = {},
                         const ColdTargetLimiter &cold = ColdTargetLimiter(),
                         std::uint64_t self = 0)
        : m_ownDataCentre(std::move(own))
        , m_policies(policies)
        , m_coldLimiter(cold)
        , m_shares(self)
        , m_turns(self)
    {
    }

    /** State that was tracked for a previous instance of the target doesn't apply to a new one. */
    void put(const TargetEntry &entry, Instant now);
    void remove(const TargetId &target);
    const TrackedTarget *find(const TargetId &target) const;
    TrackedTarget *find(const TargetId &target);
    /** Null also if the target has a newer instance. */
    TrackedTarget *find(const TargetInstance &start);
    /** Sets the cells that share the targets with this daemon's cell. */
    void setCells(const CellWeights &cells);
    void setServices(const std::vector<ServiceRule> &services, Instant now);
    /** Longest pause between events that is on time, for the services whose streams limit it. */
    void setGapObjectives(std::map<ServiceId, Duration> objectives);
    /** Sets the daemons among which cold targets are divided. */
    void setColdTargetSenders(ColdTargetSenders fleet);
    /** Sets the daemons that share the slots of brittle targets; see SlotShares::setMembers(). */
    void setShareMembers(std::vector<std::uint64_t> members, Duration settling, Instant now);
    /**
     * Sets the rejections per second that the target bears; empty if it names no limit of them. The
     * targets of its service are then sent only requests that fit into this daemon's share of their
     * slots.
     */
    void setBrittle(std::uint64_t target, std::optional<double> rejectionsPerSecond);
    std::size_t brittleCount() const;
    /** A brittle target has rejected a request of some daemon for lack of room. */
    void recordFull(std::uint64_t target, Instant now);
    /**
     * Targets of an evacuated data centre get no new requests. When the evacuation ends, they count
     * as cold: they may have restarted in the meantime, and an entry that says otherwise may be
     * older.
     */
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated, Instant now);
    /** Addresses of all targets but one. */
    std::vector<Endpoint> addressesOfOthers(const TargetId &target) const;
    std::size_t countIn(const DataCentreId &dataCentre) const;
    std::size_t evacuatedCount() const;
    /** Whether some service limits requests to its cold targets. */
    bool limitsColdTargets() const { return m_coldLimiter.limitsAny(); }
    std::size_t coldCount() const;
    /** Sets the requests per second that the target takes from all daemons; empty for no limit. */
    void setLimit(std::uint64_t target, std::optional<double> perSecond);
    std::size_t limitedCount() const;
    bool isKnown(std::uint64_t target) const { return m_idsByHash.contains(target); }
    /** The target's id for the log; empty if it isn't known. */
    std::string nameOf(std::uint64_t target) const;
    /** A request is to be sent to the target as soon as it has a unit of the target's limit. */
    void unitRequested(const TargetInstance &target);
    /** The request has its unit, or there is none before `heldUntil`. */
    void unitDecided(const TargetInstance &target, Instant heldUntil);
    /** Earliest time at which a target's limit has units again; empty if none is held. */
    std::optional<Instant> nextUnitTime(Instant now) const;
    /** Lifts the limits of targets that are no longer cold. */
    void review(Instant now);

    void requestStarted(const TargetInstance &target, const RequestSize &size, Instant now);
    void firstEventReceived(const TargetInstance &target, const RequestSize &size, Duration took);
    /** `hadFirstEvent`: firstEventReceived() was called for this request. */
    void requestEnded(const TargetInstance &target, const RequestSize &size, TargetOutcome outcome,
                      Duration held, bool hadFirstEvent, Instant now);
    /**
     * A target that stands still gets no further requests for a moment. Returns false if it got
     * none already.
     */
    bool recordSilence(const TargetInstance &target, Instant now);
    /** The target accepts no connections, or didn't respond on a path that carries others. */
    void recordUnreachable(const TargetInstance &target, unsigned failures, Instant now);
    /** The target accepts connections, so nothing that was lost on the way speaks against it. */
    void recordReachable(const TargetInstance &target);
    void setMemberLoad(std::uint64_t member, const std::vector<TargetLoad> &loads, Instant now);
    std::vector<TargetLoad> ownLoad() const;
    /** ownLoad() is sent to the other members of the cell. */
    void recordReport(Instant now);

    /**
     * Returns the best target with a free slot; null if there is none or if waiting for another is
     * better.
     */
    const TrackedTarget *choose(const TargetRequirements &requirements, Instant now) const;
    /** Whether the target is neither draining nor in an evacuated data centre. */
    bool acceptsRequests(const TrackedTarget &target) const;
    /** Whether some target of the service takes requests and may get this one. */
    bool hasAlternative(const ServiceId &service, const TargetConstraint &constraint) const;
    /** Whether the service has targets, and all that could serve are in evacuated data centres. */
    bool isEvacuated(const ServiceId &service) const;
    /**
     * Whether some target can take a request now, even one that is avoided; `contenders` as in
     * TargetRequirements.
     */
    bool hasCapacity(const ServiceId &service, const std::vector<std::uint64_t> &contenders,
                     Instant now) const;
    /** Why this daemon may fill a slot of the target now. */
    SlotFill slotFill(const TrackedTarget &target, const std::vector<std::uint64_t> &contenders,
                      Instant now) const;
    /** Earliest time at which a free slot opens to this daemon; empty if all are open to it. */
    std::optional<Instant> nextTurn(const ServiceId &service,
                                    const std::vector<std::uint64_t> &contenders,
                                    Instant now) const;
    /** Totals over the targets that aren't avoided. */
    ServiceCapacity capacity(const ServiceId &service, Instant now) const;
    /** Targets of the service that requests may be sent to, and those that aren't avoided now. */
    TargetCounts counts(const ServiceId &service, Instant now) const;
    /**
     * Milliseconds for which running streams pause while the target reads its unread prompts; empty
     * if the service doesn't limit pauses.
     */
    std::optional<double> expectedPause(const TrackedTarget &target) const;
    /** Expected time to the complete answer at an idle, average target of the service. */
    Duration expectedDuration(const ServiceId &service, const RequestSize &size) const;
    /** Expected time to the first event at an idle, average target of the service. */
    Duration expectedTimeToFirstEvent(const ServiceId &service, const RequestSize &size) const;

private:
    /** Average values of a service's targets, for those without samples. */
    struct AverageSpeed
    {
        double firstEvent = 0;
        double eventGap = 0;
        double hold = 0;
    };

    /** The targets of a service; the pointers refer to entries of m_targets. */
    struct ServiceTargets
    {
        std::vector<const TrackedTarget *> all;
        /** Targets with slots for this daemon's cell. */
        std::vector<const TrackedTarget *> ofCell;
        std::uint32_t evacuated = 0;
        std::uint32_t cold = 0;
        bool isBrittle = false;
    };

    TrackedTarget *findByHash(std::uint64_t target);
    /** Gives this daemon its own share of the slots of a service with brittle targets. */
    void assignShares(const std::vector<TrackedTarget *> &accepting);
    void assignBrittleSlots();
    void assignSlots(const ServiceId &service);
    void assignColdSlots();
    void assignAllSlots();
    /** Free slots of the target that this daemon's cell may use now. */
    std::uint32_t freeSlots(const TrackedTarget &target, Instant now) const;
    /** Time at which a free slot opens to this daemon; empty if no turns apply. */
    std::optional<Instant> turnOf(const TrackedTarget &target,
                                  const std::vector<std::uint64_t> &contenders, Instant now) const;
    bool hasOpenSlot(const TrackedTarget &target, const std::vector<std::uint64_t> &contenders,
                     Instant now) const;
    static void updateFreed(TrackedTarget &target, SlotChange change, Instant now);
    /** Slots that requests of this cell may occupy at the target, with regard to its limit. */
    std::uint32_t usableSlots(const TrackedTarget &target, double meanHoldTime) const;
    void updateCold(TrackedTarget &target, Instant until, Instant now) const;
    const ServiceTargets &targetsOf(const ServiceId &service) const;
    AverageSpeed averageSpeed(const ServiceId &service) const;
    struct Forecast
    {
        double first = 0;
        double whole = 0;
    };

    /** The best of the candidates; null if there is none or if waiting for another is better. */
    struct Choice
    {
        const TrackedTarget *target = nullptr;
        /** Some candidate is known to be healthy, though it may be full. */
        bool someIsHealthy = false;
    };

    Choice chooseAmong(const std::vector<const TrackedTarget *> &candidates,
                       const TargetRequirements &requirements, bool ofOtherCells,
                       Instant now) const;
    Forecast forecast(const TrackedTarget &target, const RequestSize &size,
                      const AverageSpeed &average) const;
    /** Zero if pauses aren't limited. */
    Duration gapObjective(const ServiceId &service) const;
    static PromptBacklog backlogOf(const TrackedTarget &target, const AverageSpeed &average);
    double cost(const TrackedTarget &target, const Forecast &forecast) const;
    static void pause(TrackedTarget &target, Duration pause, Instant now);
    void recordFailure(TrackedTarget &target, TargetOutcome outcome, Instant now);

    const DataCentreId m_ownDataCentre;
    const PolicySwitches m_policies;
    ColdTargetLimiter m_coldLimiter;
    SlotShares m_shares;
    SlotTurns m_turns;
    std::set<DataCentreId> m_evacuated;
    /** Earliest time at which a cold target becomes warm; empty if none is cold. */
    std::optional<Instant> m_nextWarmTime;
    std::map<TargetId, TrackedTarget> m_targets;
    std::map<ServiceId, ServiceTargets> m_services;
    std::map<ServiceId, Duration> m_gapObjectives;
    CellWeights m_cells;
    std::map<std::uint64_t, TargetId> m_idsByHash;
    std::map<std::uint64_t, std::vector<TargetLoad>> m_memberLoads;
};

} // namespace Apricothook
