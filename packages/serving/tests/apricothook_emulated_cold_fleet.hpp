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

/** The parts of one daemon's process that decide about cold targets, as they are assembled. */
class EmulatedProcess : public EmulatedDaemon, private DispatchListener
{
public:
    EmulatedProcess(EmulatedColdFleet &fleet, std::uint16_t number, EventLoop &loop,
                    std::uint64_t startedAt);

    void step(unsigned requests) override;
    void take(const PeerDatagram &datagram) override;

    /** It has just started, and reads at the source itself. */
    bool isFresh() const { return m_cold.mayHaveStaleEntries(true, m_loop.now()); }

    TargetTable targets;

private:
    struct Running
    {
        TargetInstance target;
        Instant ends {};
    };

    void onPlaced(ExchangeId exchange, const TargetEntry &target) override;
    void onRefused(ExchangeId, const RefusalDetails &) override { }
    void tick();

    EmulatedColdFleet &m_fleet;
    EventLoop &m_loop;
    FleetDirectory m_directory;
    ColdViewTracker m_cold;
    FleetExchange m_exchange;
    Dispatcher m_dispatcher;
    std::vector<Running> m_running;
    std::uint64_t m_lastRequest = 0;
    Instant m_ticked {};
};

/**
 * A fleet of daemons before targets that crash, come back and are evacuated. What is published
 * reaches each daemon at another moment. It counts what each cold target gets in any second.
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
    /** The most that a cold target got in any second, against its bound. */
    double worstRatio() const;
    /** Requests that reached targets which worked. */
    std::size_t served() const { return m_served; }

    void crash(std::size_t target, Time downFor);
    void crashDataCentre(std::size_t dataCentre, Time downFor);
    /** The targets are cold when it ends. */
    void evacuate(std::size_t dataCentre, Time time);

private:
    friend class EmulatedProcess;

    struct Target
    {
        TargetEntry entry;
        Time upAt {};
        Time coldUntil {};
        Time wrote {};
        std::deque<Time> sends;
    };
    struct Evacuated
    {
        DataCentreId dataCentre;
        bool isEvacuated = false;
    };
    /** A target's entry, its removal, or a data centre's evacuation or its end. */
    using News = std::variant<TargetEntry, TargetId, Evacuated>;
    struct Change
    {
        Time at {};
        News news;
    };
    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override;
    void beforeStep() override { writeEntries(); }
    /** It hears what has been published. */
    void beforeTurn(std::size_t number) override;
    void publish(const News &news);
    static void apply(EmulatedProcess &process, const News &news, Instant now);
    void writeEntries();
    void received(const TargetEntry &target);
    DataCentreId dataCentreOf(std::size_t target) const;

    std::vector<Target> m_targets;
    std::vector<Change> m_changes;
    /** Changes that each daemon has taken. */
    std::vector<std::size_t> m_taken;
    /** What is published now. */
    std::map<TargetId, TargetEntry> m_listedTargets;
    std::set<DataCentreId> m_listedEvacuations;
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
