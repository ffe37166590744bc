#include "apricothook_emulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::size_t Seeds = 3;

} // namespace

EmulatedDaemon::EmulatedDaemon(EmulatedFleet &fleet, std::uint16_t number, std::uint64_t startedAt)
    : m_fleet(fleet), m_number(number), m_startedAt(startedAt)
{
}

void EmulatedDaemon::send(const Endpoint &to, const PeerDatagram &datagram)
{
    m_fleet.post(m_number, to, datagram);
}

void EmulatedDaemon::send(const std::vector<Endpoint> &to, const PeerDatagram &datagram)
{
    for (const Endpoint &receiver : to)
        send(receiver, datagram);
}

MemberInfo EmulatedDaemon::ownInfo() const
{
    MemberInfo info;
    info.member = EmulatedFleet::memberOf(m_number);
    info.process = Incarnation(m_startedAt);
    info.peerAddress = EmulatedFleet::addressOf(m_number);
    info.isReady = true;
    return info;
}

EmulatedFleet::EmulatedFleet(std::size_t daemons, std::uint64_t seed)
    : random(seed), m_daemons(daemons)
{
}

void EmulatedFleet::startAll()
{
    for (std::size_t number = 0; number < m_daemons.size(); ++number) {
        m_daemons[number].clock = std::make_unique<ManualClock>();
        m_daemons[number].loop = std::make_unique<EventLoop>(*m_daemons[number].clock);
        startDaemon(number);
    }
}

MemberId EmulatedFleet::memberOf(std::size_t daemon)
{
    return MemberId("vm-" + std::to_string(daemon));
}

Endpoint EmulatedFleet::addressOf(std::size_t daemon)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(daemon + 1)};
}

std::vector<Endpoint> EmulatedFleet::seeds() const
{
    std::vector<Endpoint> addresses;
    for (std::size_t number = 0; number < std::min(Seeds, m_daemons.size()); ++number)
        addresses.push_back(addressOf(number));
    return addresses;
}

void EmulatedFleet::run(Time time)
{
    for (const Time end = m_now + time; m_now < end;)
        step();
}

void EmulatedFleet::step()
{
    m_now += Step;
    beforeStep();
    deliver();
    for (std::size_t number = 0; number < m_daemons.size(); ++number) {
        Daemon &daemon = m_daemons[number];
        daemon.clock->advance(Step);
        if (daemon.frozenUntil > m_now || daemon.downUntil > m_now)
            continue;
        if (!daemon.process)
            startDaemon(number);
        beforeDaemonStep(number);
        for (const PeerDatagram &datagram : std::exchange(daemon.inbox, {}))
            daemon.process->take(datagram);
        const auto stepsOfSecond = static_cast<unsigned>(Time(1000) / Step);
        const unsigned part = requestsPerSecond % stepsOfSecond;
        const unsigned more = random.next() % stepsOfSecond < part ? 1 : 0;
        daemon.process->step(requestsPerSecond / stepsOfSecond + more);
    }
}

void EmulatedFleet::startDaemon(std::size_t number)
{
    Daemon &starting = m_daemons[number];
    starting.inbox.clear();
    starting.process = start(static_cast<std::uint16_t>(number), *starting.loop);
}

void EmulatedFleet::post(std::uint16_t from, const Endpoint &to, const PeerDatagram &datagram)
{
    const std::size_t receiver = to.port - 1U;
    if (receiver >= m_daemons.size() || receiver == from || isCut(from, receiver))
        return;
    const std::uint64_t draw = random.next();
    if (draw % 1000 < lossPerThousand)
        return;
    const Time delay(1 + (draw >> 16) % 20);
    m_inFlight.push_back({m_now + delay, static_cast<std::uint16_t>(receiver), datagram});
    if ((draw >> 32) % 1000 < lossPerThousand)
        m_inFlight.push_back({m_now + 10 * delay, static_cast<std::uint16_t>(receiver), datagram});
}

void EmulatedFleet::deliver()
{
    const auto due
        = std::stable_partition(m_inFlight.begin(), m_inFlight.end(),
                                [this](const DatagramInFlight &sent) { return sent.due > m_now; });
    const std::vector<DatagramInFlight> arrived(due, m_inFlight.end());
    m_inFlight.erase(due, m_inFlight.end());
    for (const DatagramInFlight &sent : arrived) {
        if (m_daemons[sent.to].process)
            m_daemons[sent.to].inbox.push_back(sent.datagram);
    }
}

bool EmulatedFleet::isCut(std::size_t from, std::size_t to) const
{
    if (isCutOff(from) || isCutOff(to))
        return true;
    if (m_splitUntil <= m_now || (from < m_splitIndex) == (to < m_splitIndex))
        return false;
    return !m_splitOneWay || from < m_splitIndex;
}

void EmulatedFleet::kill(std::size_t daemon, Time downFor)
{
    m_daemons[daemon].process.reset();
    m_daemons[daemon].inbox.clear();
    m_daemons[daemon].downUntil = m_now + downFor;
}

void EmulatedFleet::freeze(std::size_t daemon, Time time)
{
    m_daemons[daemon].frozenUntil = m_now + time;
}

void EmulatedFleet::cutOff(std::size_t daemon, Time time)
{
    m_daemons[daemon].cutUntil = m_now + time;
}

void EmulatedFleet::split(std::size_t first, Time time, bool oneWay)
{
    m_splitIndex = first;
    m_splitUntil = m_now + time;
    m_splitOneWay = oneWay;
}

} // namespace Apricothook
