#pragma once

#include <apricothook/core/apricothook_core_event.hpp>
#include <apricothook/core/apricothook_core_ports_set.hpp>
#include <apricothook/core/internal/apricothook_configuration_applier.hpp>
#include <apricothook/core/internal/apricothook_core_parts.hpp>
#include <apricothook/core/internal/apricothook_drain_plan.hpp>
#include <apricothook/core/internal/apricothook_peer_dispatcher.hpp>
#include <apricothook/core/internal/apricothook_target_poller.hpp>
#include <apricothook/ports/apricothook_core_event.hpp>

#include <string>
#include <unordered_map>

namespace Apricothook {

/** The parts and what goes on between them in one turn. */
class CoreTurn : OrderContext
{
public:
    CoreTurn(const CoreIdentity &identity, const CorePortsSet &ports, Instant now);

    void handle(CoreEvent &event, Instant now);
    void tick(Instant now);
    Instant nextDue() const;
    const CoreParts &parts() const { return m_parts; }
    const DrainPlan &drain() const { return m_drain; }

private:
    void take(CallerRequest &request, Instant now);
    void take(const CallerGone &gone, Instant now);
    void take(const KeyLookup &lookup, Instant now);
    void take(const EntriesLookup &lookup, Instant now);
    void take(const DispatchStarted &started, Instant now);
    void take(const DispatchEnded &ended, Instant now);
    void take(const EngineOrderEnded &ended, Instant now);
    void take(const LoadReport &report, Instant now);
    void take(const CacheEvents &events, Instant now);
    void take(const PeerMessageReceived &arrived, Instant now);
    void take(const ConfigurationReceived &arrived, Instant now);
    void take(const ConfigurationRejected &rejected, Instant now);
    void take(const VmListReceived &arrived, Instant now);
    void take(const PlatformReachability &news, Instant now);
    void take(const KeptAnswerFetched &arrived, Instant now);
    void take(const OperatorQuery &asked, Instant now);
    void take(const KeptAnswerQuery &asked, Instant now);
    void take(const StopRequested &stop, Instant now);

    Duration lookupKeep() const;
    bool isMine(const TargetId &target) const override;
    bool isInUse(const TargetId &target, const ModelId &model) const override;
    void leave(Instant now);
    void advanceDrain(Instant now);
    void sendOrders(Instant now);
    void noticeMembers(Instant now);
    /** Performs and delivers all that the turn brought about, until nothing is left. */
    void settle(Instant now);
    void deliver(OutgoingMessage &outgoing, Instant now);
    void send(const MemberId &to, const PeerMessage &message);
    void record(DaemonEvent event, std::string details);

    CoreParts m_parts;
    PeerDispatcher m_dispatcher;
    ConfigurationApplier m_applier;
    TargetPoller m_poller;
    DrainPlan m_drain;
    PeerDispatcher::Results m_results;
    std::unordered_map<MemberId, Endpoint> m_strangers;
    std::uint64_t m_viewVersion = 0;
    Instant m_lastTick {};
    bool m_wasReady = false;
};

} // namespace Apricothook
