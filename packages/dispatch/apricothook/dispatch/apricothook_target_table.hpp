#pragma once

#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>
#include <apricothook/dispatch/apricothook_policy_switches.hpp>
#include <apricothook/dispatch/apricothook_recent_sends.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/dispatch/apricothook_slot_partition.hpp>
#include <apricothook/dispatch/apricothook_target_speed.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/** Requests that one member has at a target; part of its beacon. */
struct TargetLoad
{
    std::uint64_t target = 0; ///< targetHash() of the start.
    std::uint32_t running = 0;

    auto operator<=>(const TargetLoad &) const = default;
};

/**
 * A short name of a target's start for messages between daemons. Loads that are told of a former
 * start don't count at the present one: it would look busy with work that it never got.
 */
std::uint64_t targetHash(const TargetInstance &start);

/** What a request asks of a target. */
struct RequestSize
{
    std::uint64_t promptTokens = 0;
    /** Expected events of a stream; an estimate that is often far off. */
    std::uint64_t events = 0;
    bool isStream = false;

    auto operator<=>(const RequestSize &) const = default;
};

/** What became of a request at a target, as far as the target is to blame. */
enum class TargetOutcome {
    Served,
    Failed,      ///< An error of its own, a broken or unreadable answer.
    Unreachable, ///< No connection, or silence.
    Full,        ///< It said that it had no room.
    Cancelled,   ///< Ended by this side; tells nothing of the target.
};

/** A target with what this daemon believes of it. */
struct TrackedTarget
{
    TargetEntry entry;
    /** Slots that this daemon's cell uses; the others are other cells'. */
    std::uint32_t cellSlots = 0;
    std::uint32_t ownRequests = 0;
    std::uint32_t requestsOfOthers = 0;
    /** Prompt tokens of own requests without a first event. */
    std::uint64_t unreadTokens = 0;
    TargetSpeed speed;
    /** Chosen only where nothing else is left, until then. */
    Instant avoidedUntil {};
    std::uint32_t failuresInRow = 0;
    /** Taken for cold until then, by what its entries tell and by the end of an evacuation. */
    Instant coldUntil {};
    /** It is cold and bears only a few requests. */
    bool isCold = false;
    /** Requests that this daemon may send it in any one second. */
    std::uint32_t mostInSecond = ColdTargetLimiter::Unlimited;
    /** Own requests to it, while its service bounds what cold targets get. */
    RecentSends sends;

    /** Known requests: those of the own cell. */
    std::uint32_t load() const { return ownRequests + requestsOfOthers; }
    /** Part of the target that is taken, if other cells use their slots as much as the own one. */
    double usedPart() const { return load() / std::max<double>(cellSlots, 1); }
};

/** What a request needs of its target. */
struct TargetWish
{
    ServiceId service;
    RequestSize size;
    /** Until the first event, for an answer on time; none is left for one that is late already. */
    Duration untilFirst {};
    /** Until the whole answer. */
    Duration untilEnd {};
    /** Targets that had the request already. */
    std::set<TargetInstance> excluded;
};

/** Sums over the targets of a service that take new requests of this daemon's cell. */
struct ServiceCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    /** Milliseconds for which a request holds a slot. */
    double meanHoldTime = 0;
    /** Targets of the service, over all cells, that get nothing as their data centre is evacuated.
     */
    std::uint32_t evacuated = 0;
    /** Targets of the service, over all cells, that are cold. */
    std::uint32_t cold = 0;
};

/**
 * The targets that this daemon knows, their load over all daemons and their speeds. Not safe for
 * several threads.
 */
class TargetTable
{
public:
    explicit TargetTable(DataCentreId own, const PolicySwitches &policies = {},
                         const ColdTargetLimiter &cold = ColdTargetLimiter())
        : m_own(std::move(own)), m_policies(policies), m_cold(cold)
    {
    }

    /** Nothing that is believed of a former start of the target holds for a new one. */
    void put(const TargetEntry &entry, Instant now);
    void remove(const TargetId &target);
    const TrackedTarget *find(const TargetId &target) const;
    TrackedTarget *find(const TargetId &target);
    /** Null too when the target has started again since. */
    TrackedTarget *find(const TargetInstance &start);
    /** The cells that share the targets with this daemon's own. */
    void setCells(const CellWeights &cells);
    void setServices(const std::vector<ServiceRule> &services, Instant now);
    /** The daemons among which cold targets are divided. */
    void setColdTargetSenders(ColdTargetSenders fleet);
    /**
     * Targets of an evacuated data centre take nothing new. At the end they are cold: they may have
     * started again meanwhile, and an entry that says otherwise may be older.
     */
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated, Instant now);
    std::size_t countIn(const DataCentreId &dataCentre) const;
    std::size_t evacuatedCount() const;
    /** Some service bounds what its cold targets get. */
    bool limitsColdTargets() const { return m_cold.boundsAny(); }
    std::size_t coldCount() const;
    /** Lets targets that aren't cold any more take what they can. */
    void review(Instant now);

    void requestStarted(const TargetInstance &target, const RequestSize &work, Instant now);
    void firstEventReceived(const TargetInstance &target, const RequestSize &work, Duration took);
    /** `hadFirstEvent`: firstEvent() was called for this request. */
    void requestEnded(const TargetInstance &target, const RequestSize &work, TargetOutcome outcome,
                      Duration held, bool hadFirstEvent, Instant now);
    void setMemberLoad(std::uint64_t member, const std::vector<TargetLoad> &loads);
    std::vector<TargetLoad> ownLoad() const;

    /** The best target with room; null when there is none or it is better to wait for another. */
    const TrackedTarget *choose(const TargetWish &wish, Instant now) const;
    /** Some target of the service takes requests and isn't among `excluded`. */
    bool hasOther(const ServiceId &service, const std::set<TargetInstance> &excluded) const;
    /** The service has targets, and all that could serve are in evacuated data centres. */
    bool isEvacuated(const ServiceId &service) const;
    /** Some target may take a request now, even one that is avoided. */
    bool hasRoom(const ServiceId &service, Instant now) const;
    /** Sums over the targets that aren't avoided. */
    ServiceCapacity capacity(const ServiceId &service, Instant now) const;
    /** Expected time to the whole answer at an idle, usual target of the service. */
    Duration expectedDuration(const ServiceId &service, const RequestSize &work) const;
    /** Expected time to the first event at an idle, usual target of the service. */
    Duration expectedTimeToFirstEvent(const ServiceId &service, const RequestSize &work) const;

private:
    /** Usual values of a service's targets, for those that have no samples yet. */
    struct UsualSpeed
    {
        double firstEvent = 0;
        double eventGap = 0;
        double hold = 0;
    };

    /** The targets of a service; the pointers are to entries of m_targets. */
    struct ServiceTargets
    {
        std::vector<const TrackedTarget *> all;
        /** Those with slots for this daemon's cell. */
        std::vector<const TrackedTarget *> ofCell;
        std::uint32_t evacuated = 0;
        std::uint32_t cold = 0;
    };

    void divide(const ServiceId &service);
    void divideCold();
    void divideAll();
    /** Neither leaves nor is in an evacuated data centre. */
    bool takesWork(const TrackedTarget &target) const;
    /** Slots of the target that this daemon's cell may use now. */
    std::uint32_t freeSlots(const TrackedTarget &target, Instant now) const;
    void noteCold(TrackedTarget &target, Instant until, Instant now) const;
    const ServiceTargets &ofService(const ServiceId &service) const;
    UsualSpeed usualSpeed(const ServiceId &service) const;
    struct Forecast
    {
        double first = 0;
        double whole = 0;
    };

    /** The best of the candidates, and whether it is better to wait for another. */
    struct Choice
    {
        const TrackedTarget *target = nullptr;
        /** Some candidate is known to be sound, though it may be full. */
        bool someIsSound = false;
    };

    Choice chooseAmong(const std::vector<const TrackedTarget *> &candidates, const TargetWish &wish,
                       bool ofOtherCells, Instant now) const;
    Forecast forecast(const TrackedTarget &target, const RequestSize &work,
                      const UsualSpeed &usual) const;
    double cost(const TrackedTarget &target, const Forecast &forecast) const;
    void punish(TrackedTarget &target, TargetOutcome outcome, Instant now);

    const DataCentreId m_own;
    const PolicySwitches m_policies;
    ColdTargetLimiter m_cold;
    std::set<DataCentreId> m_evacuated;
    /** Some target is cold until then at least; nothing while none is. */
    std::optional<Instant> m_nextWarm;
    std::map<TargetId, TrackedTarget> m_targets;
    std::map<ServiceId, ServiceTargets> m_services;
    CellWeights m_cells;
    std::map<std::uint64_t, TargetId> m_numbers;
    std::map<std::uint64_t, std::vector<TargetLoad>> m_loadsOfMembers;
};

} // namespace Apricothook
