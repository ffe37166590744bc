#pragma once

#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>

#include <apricothook_emulated_fleet.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace Apricothook {

class EmulatedColdFleet;

/** The components of a daemon that handle cold targets, wired as in the process. */
class EmulatedColdDaemon : public EmulatedDaemon, private DispatchListener
{
public:
    EmulatedColdDaemon(EmulatedColdFleet &fleet, std::uint16_t number, EventLoop &loop,
                       std::uint64_t startedAt);

    void step(unsigned requests) override;
    void take(const PeerDatagram &datagram) override;

    /** True for some time after the start, while the daemon reads at the source itself. */
    bool isStarting() const { return m_coldViewTracker.mayHaveStaleEntries(true, m_loop.now()); }

    TargetTable targets;

private:
    struct Running
    {
        TargetInstance target;
        Instant ends {};
    };

    void onPlaced(ExchangeId exchange, const TargetEntry &target, const SlotFill &fill) override;
    void onRefused(ExchangeId, const RefusalDetails &) override { }
    void tick();

    EmulatedColdFleet &m_fleet;
    EventLoop &m_loop;
    FleetDirectory m_directory;
    ColdViewTracker m_coldViewTracker;
    FleetExchange m_exchange;
    Dispatcher m_dispatcher;
    std::vector<Running> m_running;
    std::uint64_t m_lastRequest = 0;
    Instant m_lastTick {};
};

/**
 * A fleet of daemons with targets that crash, restart and are evacuated. Published changes reach
 * each daemon at a different time. Counts the requests that each cold target gets in any second.
 */
class EmulatedColdFleet : public EmulatedFleet
{
public:
    static constexpr std::size_t DataCentres = 3;
    static constexpr Time ColdTime {3000};
    static constexpr double ColdPerSecond = 12;
    static constexpr double ColdOvershoot = 1.5;
    static constexpr double ColdSlack = 5;

    EmulatedColdFleet(std::size_t daemons, std::size_t targets, std::uint64_t seed);

    std::size_t targets() const { return m_targets.size(); }
    /** Most requests that a cold target got in any second, divided by its bound. */
    double worstRatio() const;
    /** Requests that reached a running target. */
    std::size_t served() const { return m_served; }

    void crash(std::size_t target, Time downFor);
    void crashDataCentre(std::size_t dataCentre, Time downFor);
    /** Evacuates the data centre for `time`; its targets are cold afterwards. */
    void evacuate(std::size_t dataCentre, Time time);

private:
    friend class EmulatedColdDaemon;

    struct Target
    {
        TargetEntry entry;
        Time upAt {};
        Time coldUntil {};
        Time lastWrite {};
        std::deque<Time> requests;
    };
    struct EvacuationState
    {
        DataCentreId dataCentre;
        bool isEvacuated = false;
    };
    /** A target's entry, the removal of a target, or the start or end of an evacuation. */
    using PublishedChange = std::variant<TargetEntry, TargetId, EvacuationState>;
    struct Change
    {
        Time at {};
        PublishedChange published;
    };
    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override;
    void beforeStep() override { publishEntries(); }
    /** Delivers published changes to the daemon. */
    void beforeDaemonStep(std::size_t number) override;
    void publish(const PublishedChange &change);
    static void apply(EmulatedColdDaemon &process, const PublishedChange &change, Instant now);
    void publishEntries();
    void recordRequest(const TargetEntry &target);
    DataCentreId dataCentreOf(std::size_t target) const;

    std::vector<Target> m_targets;
    std::vector<Change> m_changes;
    /** Number of changes that each daemon has applied. */
    std::vector<std::size_t> m_appliedChanges;
    /** Entries that are published at present. */
    std::map<TargetId, TargetEntry> m_publishedTargets;
    std::set<DataCentreId> m_publishedEvacuations;
    struct Evacuation
    {
        std::size_t dataCentre = 0;
        Time ends {};
    };
    std::vector<Evacuation> m_evacuations;
    std::size_t m_worst = 0;
    std::size_t m_served = 0;
};

} // namespace Apricothook
