#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <memory>
#include <vector>

namespace Apricothook {

class EmulatedFleet;

/** One process of a daemon in an emulated fleet. */
class EmulatedDaemon : protected PeerSender
{
public:
    EmulatedDaemon(EmulatedFleet &fleet, std::uint16_t number, std::uint64_t startedAt);
    ~EmulatedDaemon() override = default;
    EmulatedDaemon(const EmulatedDaemon &) = delete;
    EmulatedDaemon &operator=(const EmulatedDaemon &) = delete;

    /** Runs due work and admits `requests` new requests. */
    virtual void step(unsigned requests) = 0;
    virtual void take(const PeerDatagram &datagram) = 0;

protected:
    void send(const Endpoint &to, const PeerDatagram &datagram) override;
    void send(const std::vector<Endpoint> &to, const PeerDatagram &datagram) override;
    MemberInfo ownInfo() const override;
    std::uint64_t ownRevision() const override { return 0; }
    ViewReport ownView() const override { return {}; }
    std::uint16_t number() const { return m_number; }

private:
    EmulatedFleet &m_fleet;
    const std::uint16_t m_number;
    const std::uint64_t m_startedAt;
};

/**
 * A fleet of daemons in virtual time, on a network that delays, drops and duplicates datagrams.
 * Daemons can be killed, restarted, frozen and cut off.
 */
class EmulatedFleet
{
public:
    using Time = std::chrono::milliseconds;
    static constexpr Time Step {10};

    EmulatedFleet(std::size_t daemons, std::uint64_t seed);
    virtual ~EmulatedFleet() = default;
    EmulatedFleet(const EmulatedFleet &) = delete;
    EmulatedFleet &operator=(const EmulatedFleet &) = delete;

    void run(Time time);
    std::size_t daemons() const { return m_daemons.size(); }
    Time now() const { return m_now; }
    static MemberId memberOf(std::size_t daemon);
    static Endpoint addressOf(std::size_t daemon);
    std::vector<Endpoint> seeds() const;

    /** Requests per second at each daemon. */
    unsigned requestsPerSecond = 50;
    /** Fraction of dropped datagrams, in thousandths. */
    unsigned lossPerThousand = 5;

    void kill(std::size_t daemon, Time downFor);
    void freeze(std::size_t daemon, Time time);
    /** Isolates the daemon from the other daemons and from published changes. */
    void cutOff(std::size_t daemon, Time time);
    /** Drops datagrams from the daemons below `first` to the others and, unless `oneWay`, those in
     * the other direction. */
    void split(std::size_t first, Time time, bool oneWay);

    DeterministicRandom random;

protected:
    virtual std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) = 0;
    /** Called before datagrams in flight are delivered. */
    virtual void beforeStep() { }
    /** Called before a running daemon receives its datagrams. */
    virtual void beforeDaemonStep(std::size_t) { }
    /** To be called by the constructor of the derived class. */
    void startAll();
    EmulatedDaemon &daemon(std::size_t number) { return *m_daemons[number].process; }
    Instant timeAt(std::size_t number) const { return m_daemons[number].loop->now(); }
    bool isCutOff(std::size_t number) const { return m_daemons[number].cutUntil > m_now; }

private:
    friend class EmulatedDaemon;

    struct Daemon
    {
        std::unique_ptr<ManualClock> clock;
        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<EmulatedDaemon> process;
        Time downUntil {};
        Time frozenUntil {};
        Time cutUntil {};
        std::vector<PeerDatagram> inbox;
    };
    struct DatagramInFlight
    {
        Time due {};
        std::uint16_t to = 0;
        PeerDatagram datagram;
    };

    void step();
    void startDaemon(std::size_t number);
    void deliver();
    void post(std::uint16_t from, const Endpoint &to, const PeerDatagram &datagram);
    bool isCut(std::size_t from, std::size_t to) const;

    std::vector<Daemon> m_daemons;
    std::vector<DatagramInFlight> m_inFlight;
    std::size_t m_splitIndex = 0;
    Time m_splitUntil {};
    bool m_splitOneWay = false;
    Time m_now {};
};

} // namespace Apricothook
