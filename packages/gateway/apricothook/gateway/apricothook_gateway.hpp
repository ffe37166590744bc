#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/gateway/apricothook_caller_connection.hpp>
#include <apricothook/gateway/apricothook_fleet_suspect_guard.hpp>
#include <apricothook/gateway/apricothook_forwarded_request.hpp>
#include <apricothook/paths/apricothook_path_monitor.hpp>

#include <list>
#include <memory>
#include <unordered_map>

namespace Apricothook {

/** The HTTP reverse proxy: caller connections, requests in progress and target channels. */
class Gateway : private CallerRequestHandler,
                private DispatchListener,
                private LimitListener,
                private GrantorListener,
                private LimitMessenger,
                private TargetLimitListener,
                private CrashListener,
                private ReachListener
{
public:
    Gateway(EventLoop &loop, const WireProtocol &protocol, RandomSource &random, LogWriter &log,
            Metrics &metrics, const FleetBounds &bounds, const DataCentreId &dataCentre,
            const PolicySwitches &policies = {}, const LimitPeer &self = {},
            const CallerResources &callers = callerResources({}));
    ~Gateway() override;
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    Result<void, ListenError> listen(const Endpoint &address);
    /** The listening port; zero while not listening. */
    std::uint16_t port() const { return m_listener ? m_listener->port() : 0; }
    void setConfiguration(std::shared_ptr<const RouteTable> routes);
    /** Number of live daemons, including this one. */
    void setMembers(std::size_t live) { m_context.members = live; }
    /** Number of daemons that share the fleet-wide bounds; nothing while unknown. */
    void setFleetSize(std::optional<std::size_t> daemons) { m_context.fleetSize = daemons; }
    /** Adds or updates a target; attempts at an earlier instance of it fail. */
    void putTarget(const TargetEntry &target);
    void removeTarget(const TargetId &target);
    /** Targets of an evacuated data centre get no requests; waiting requests are dispatched anew.
     */
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated);

    /**
     * From now on each connection is closed after its response, and a request that isn't expected
     * to be complete at the given time is rejected as not run unless a target has it; without a
     * time, none is.
     */
    void startDraining(std::optional<Instant> shutdownAt = std::nullopt);
    /** New requests are rejected as not run, as they couldn't complete before the shutdown. */
    void refuseNewRequests() { m_context.refusesNewRequests = true; }
    /** Rejects the requests that no target has yet and that aren't expected to be complete. */
    void refuseWaitingRequests();
    /** Stops accepting connections and closes the idle ones. */
    void stopListening();
    /** Answers all requests that have no response yet, as the process is about to end. */
    void endUnansweredRequests();
    /** Breaks off all responses that have begun, and closes all connections. */
    void closeConnections();
    std::size_t openRequests() const { return m_exchanges.size(); }
    std::size_t callerConnections() const { return m_connections.size(); }
    const CallerMemory &callerMemory() const { return m_memory; }

    TargetTable &targets() { return m_targets; }
    Dispatcher &dispatcher() { return m_dispatcher; }
    FleetRateLimiter &limits() { return m_limits; }
    /** Applies what another daemon tells of a target's limits. */
    void take(const TargetLimitNotice &notice);
    void take(const BrittlenessNotice &notice);
    void take(const TargetFullNotice &notice);
    /** Drops limits of targets that are gone; to be called about once a second. */
    void reviewTargetLimits();
    /** Without a messenger, the daemon assumes that it is the only one. */
    void setLimitMessenger(LimitMessenger &messenger);
    /** The suspect requests as known to the fleet. */
    FleetSuspectGuard &suspects() { return m_suspects; }
    /** Replaces the guard that shares its knowledge with the fleet. */
    void setSuspectGuard(SuspectGuard &guard) { m_context.suspectGuard = &guard; }
    /**
     * Other daemons may know what this one doesn't. `isFirstStart`: the whole fleet starts for the
     * first time, so nothing happened before.
     */
    void joinFleet(bool isFirstStart);
    /** What the fleet remembers of streams that callers may take up. */
    FleetStreamOrigins &streams() { return m_streams; }
    /** All that was published until `time` is known. */
    void confirmView(Instant time) { m_unnamedStreams.confirmView(time); }
    /** Without peers, the daemon assumes that no other one reaches targets for it. */
    void setRelayPeers(const RelayPeers &peers) { m_paths.setPeers(peers); }
    /** This daemon's own paths to targets. */
    const TargetPaths &paths() const { return m_paths.paths(); }
    /** Must be called after limits() received a message or an update. */
    void scheduleLimitReview();
    /** `changed` is called when this daemon's load or queue may have changed. */
    void setLoadListener(std::function<void()> changed) { m_loadListener = std::move(changed); }
    /** Dispatches waiting requests after the current event. */
    void scheduleReview();

private:
    /** A longer timeout than that in force, which callers may still go by. */
    struct FormerTimeout
    {
        Duration time {};
        Instant until {};
    };

    CallerRequestEvents &begin(ReceivedRequest request, CallerResponder &responder) override;
    void release(CallerRequestEvents &events) override;
    MessageLimits messageLimits() const override;
    Duration headTimeout() const override { return callerBounds().headTimeout; }
    Duration idleTimeout() const override;
    void onResponseCut(const CutResponse &response) override;
    UploadTerms uploadTerms(const RequestHead &head, Instant receiveStarted) override;
    CallerMemory &memory() override { return m_memory; }
    Duration retryAfterNoRoom() override { return Apricothook::retryAfterNoRoom(m_context.random); }
    void onCallerLimited(const LimitedCaller &caller) override;
    const WireProtocol &protocol() const override { return m_context.protocol; }
    bool isDraining() const override { return m_draining; }

    void onPlaced(ExchangeId exchange, const TargetEntry &target, const SlotFill &fill) override;
    void onRefused(ExchangeId exchange, const RefusalDetails &facts) override;

    void onLimitDecided(ExchangeId exchange, const LimitDecision &decision) override;
    void onPermitDecided(ExchangeId exchange, const PermitDecision &decision);
    void onOriginDecided(ExchangeId exchange, const StreamOriginDecision &decision);
    void onGrantorChanged(std::uint64_t limit, GrantorChange change, double level) override;
    void send(const Endpoint &to, const LimitMessage &message) override;
    void broadcast(const LimitMessage &message) override;

    void onTargetLimitChanged(TargetLimitKind kind, std::uint64_t target, TargetLimitChange change,
                              TargetLimitOrigin origin) override;
    void onCrashed(const TargetInstance &target, CrashSign sign,
                   const std::vector<DroppedRequest> &requests, Instant crashed) override;
    void onSurvived(const TargetInstance &target,
                    const std::vector<DroppedRequest> &requests) override;

    void onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion,
                          unsigned losses) override;

    /** Sets the budgets of the limits of customers, targets and trials. */
    void updateBudgets();
    TargetLimitAnnouncer &announcerOf(TargetLimitKind kind);
    /** A target has rejected a request of this daemon for lack of room. */
    void onTargetFull(const TargetInstance &target);
    /** Sets the budget of the trials of one trait. */
    void updateTrialBudget(std::uint64_t trait);

    void accept(int descriptor);
    /** Makes room for another connection; false if there is none to close. */
    bool makeRoomForConnection();
    /** Answers a connection that there is no room for, and closes it. */
    void refuseConnection(int descriptor);
    /** Warns of a configuration that allows bodies larger than this daemon can hold. */
    void checkBodyLimit();
    void onTargetRestarted(const TargetEntry &current);
    /** Requests that end are destroyed after the current event only. */
    std::vector<ForwardedRequest *> openExchanges() const;
    std::vector<CallerConnection *> openConnections() const;
    void connectionClosed(CallerConnection &connection);
    void review();
    CallerBounds callerBounds() const;

    EventLoop &m_loop;
    const FleetBounds m_bounds;
    CallerMemory m_memory;
    TargetTable m_targets;
    LimitMessenger *m_limitMessenger = nullptr;
    FleetRateLimiter m_limits;
    TargetLimitAnnouncer m_targetLimits;
    TargetLimitAnnouncer m_targetRejections;
    Dispatcher m_dispatcher;
    PathMonitor m_paths;
    ChannelPool m_channels;
    FleetStreamOrigins m_streams;
    UnnamedStreams m_unnamedStreams;
    FleetSuspectGuard m_suspects;
    CrashDetector m_crashDetector;
    GatewayContext m_context;
    std::unique_ptr<Listener> m_listener;
    std::list<std::unique_ptr<CallerConnection>> m_connections;
    std::unordered_map<std::uint64_t, std::unique_ptr<ForwardedRequest>> m_exchanges;
    std::uint64_t m_lastExchange = 0;
    FormerTimeout m_formerIdleTimeout;
    bool m_draining = false;
    bool m_reviewPending = false;
    TimerId m_dispatchTimer = 0;
    TimerId m_limitTimer = 0;
    std::function<void()> m_loadListener;
};

} // namespace Apricothook
