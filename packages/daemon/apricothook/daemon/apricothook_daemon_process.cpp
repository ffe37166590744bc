#include <apricothook/daemon/apricothook_daemon_process.hpp>

#include <apricothook/caller/apricothook_caller_limits.hpp>
#include <apricothook/caller/apricothook_caller_server.hpp>
#include <apricothook/configservice/apricothook_core_answer_source.hpp>
#include <apricothook/configservice/apricothook_peer_rpc_server.hpp>
#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/apricothook_platform_counters.hpp>
#include <apricothook/configservice/apricothook_rpc_seal.hpp>
#include <apricothook/configservice/apricothook_text_shelf.hpp>
#include <apricothook/core/apricothook_core.hpp>
#include <apricothook/daemon/apricothook_core_thread.hpp>
#include <apricothook/daemon/apricothook_daemon_gauges.hpp>
#include <apricothook/daemon/apricothook_strict_text_checker.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/peers/apricothook_peer_transport.hpp>
#include <apricothook/ports/apricothook_system_clock.hpp>
#include <apricothook/ports/apricothook_system_random.hpp>
#include <apricothook/target/apricothook_target_client.hpp>

#include <atomic>

namespace Apricothook {

namespace {

// A core that stands still for longer won't come back by itself.
constexpr Duration LongestTurn = std::chrono::seconds(5);

std::vector<TicketKey> ticketKeysOf(const PeerKeys &keys)
{
    std::vector<TicketKey> ticketKeys;
    for (const PeerKey &key : keys)
        ticketKeys.push_back({key.number, key.secret});
    return ticketKeys;
}

CallerLimits callerLimitsOf(const Policy &policy)
{
    CallerLimits limits;
    limits.maximumBodyBytes = policy.maximumBodyBytes;
    limits.maximumConnections = policy.maximumConnections;
    return limits;
}

} // namespace

class DaemonProcess::Threads
{
public:
    Threads(const Settings &settings, const PeerKeys &keys, EventSink &events,
            RequestObserver &observer);
    ~Threads() { stop(); }

    Result<void, DaemonFailure> start();
    void requestStop() { m_coreThread.post(StopRequested()); }
    bool isDone() const { return m_isDone; }
    bool isAlive() const { return m_clock.now() - Instant(Duration(m_lastTurn)) < LongestTurn; }
    bool isReady() const { return m_isReady; }
    DaemonGauges gauges();
    void stop();

private:
    void afterTurn();

    Settings m_settings;
    PeerKeys m_keys;
    EventSink &m_events;
    RequestObserver &m_observer;
    SystemClock m_clock;
    SystemRandom m_random;
    CoreThread m_coreThread;
    StrictTextChecker m_checker;
    RpcSeal m_seal;
    TextShelf m_shelf;
    PlatformCounters m_platformCounters;
    CoreAnswerSource m_answers;
    PlatformClient m_platform;
    PeerRpcServer m_rpc;
    TargetClient m_targets;
    CallerServer m_callers;
    std::unique_ptr<PeerTransport> m_peers;
    std::unique_ptr<Core> m_core;
    Generation m_limitsOf;
    std::atomic<bool> m_isReady {false};
    std::atomic<bool> m_isDone {false};
    std::atomic<Duration::rep> m_lastTurn {0};
    std::atomic<std::uint64_t> m_generation {0};
    std::atomic<std::size_t> m_exchanges {0};
};

DaemonProcess::Threads::Threads(const Settings &settings, const PeerKeys &keys, EventSink &events,
                                RequestObserver &observer)
    : m_settings(settings)
    , m_keys(keys)
    , m_events(events)
    , m_observer(observer)
    , m_coreThread(m_clock)
    , m_seal(keys)
    , m_answers(m_coreThread)
    , m_platform({m_coreThread, m_checker, m_seal, m_shelf, m_clock, events, m_platformCounters},
                 settings.platformAddress, m_random.next())
    , m_rpc({m_seal, m_shelf, m_answers, m_clock, events, m_platformCounters},
            settings.peerListenAddress)
    , m_targets(m_coreThread, m_clock)
    , m_callers(settings.callerAddress, callerLimitsOf(Policy()), m_clock, m_coreThread, events)
{
}

Result<void, DaemonFailure> DaemonProcess::Threads::start()
{
    // Every process of a member has a larger incarnation than those before: the wall clock moves on
    // by more than a restart takes. One that is behind finds out from the others and leaves.
    const MemberInstance self {m_settings.id, Incarnation(m_clock.wallMilliseconds())};
    auto peers = PeerTransport::open(self, m_settings.peerListenAddress, m_keys, m_coreThread);
    if (!peers || !m_rpc.start())
        return DaemonFailure::PeerAddressInUse;
    m_peers = std::move(peers.value());
    if (!m_targets.start())
        return DaemonFailure::NoThread;
    m_platform.start();
    const CoreIdentity identity {m_settings, self.incarnation, ticketKeysOf(m_keys)};
    const CorePortsSet ports {m_targets, *m_peers, m_platform, m_events, m_observer, m_random};
    m_core = std::make_unique<Core>(identity, ports, m_clock.now());
    m_coreThread.start(*m_core, [this] { afterTurn(); });
    if (!m_callers.start())
        return DaemonFailure::CallerAddressInUse;
    return Outcomes::success();
}

void DaemonProcess::Threads::afterTurn()
{
    m_lastTurn = m_clock.now().time_since_epoch().count();
    m_isReady = m_core->isReady();
    m_isDone = m_core->isDone();
    m_exchanges = m_core->activeExchanges();
    m_generation = m_core->generation().value();
    if (m_core->generation() == m_limitsOf)
        return;
    m_limitsOf = m_core->generation();
    m_callers.setLimits(callerLimitsOf(m_core->policy()));
}

DaemonGauges DaemonProcess::Threads::gauges()
{
    DaemonGauges gauges;
    gauges.generation = m_generation;
    gauges.exchanges = m_exchanges;
    gauges.callerConnections = m_callers.counts().connections;
    gauges.coreRing = m_coreThread.waiting();
    const PeerCounters counters = m_peers->counters();
    gauges.peerBytesSent = counters.bytesSent;
    gauges.peerBytesReceived = counters.bytesReceived;
    gauges.peerDatagramsSent = counters.datagramsSent;
    gauges.platformReads = m_platformCounters.platformReads;
    gauges.rpcBytes = m_platformCounters.rpcBytes;
    return gauges;
}

void DaemonProcess::Threads::stop()
{
    m_callers.stop();
    m_targets.stop();
    m_platform.stop();
    m_rpc.stop();
    if (m_peers)
        m_peers->stop();
    m_coreThread.stop();
}

DaemonProcess::DaemonProcess(const Settings &settings, const PeerKeys &keys, EventSink &events,
                             RequestObserver &observer)
    : m_threads(std::make_unique<Threads>(settings, keys, events, observer))
{
}

DaemonProcess::~DaemonProcess() = default;

Result<void, DaemonFailure> DaemonProcess::start()
{
    return m_threads->start();
}

void DaemonProcess::requestStop()
{
    m_threads->requestStop();
}

bool DaemonProcess::isDone() const
{
    return m_threads->isDone();
}

bool DaemonProcess::isAlive() const
{
    return m_threads->isAlive();
}

bool DaemonProcess::isReady() const
{
    return m_threads->isReady();
}

DaemonGauges DaemonProcess::gauges() const
{
    return m_threads->gauges();
}

void DaemonProcess::stop()
{
    m_threads->stop();
}

} // namespace Apricothook
