#pragma once

#include <apricothook/dispatch/apricothook_reachability_estimator.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <vector>

namespace Apricothook {

/** Connects customers' and targets' limits to the fleet: membership, reachability, messages. */
class LimitExchange : private LimitMessenger
{
public:
    /**
     * Largest difference between incarnations, which are times of day, of processes that count as
     * started together. VMs that are started at once come up some tenths of a second apart, and
     * their clocks differ by less.
     */
    static constexpr std::chrono::milliseconds StartTolerance {1000};

    LimitExchange(EventLoop &loop, const FleetDirectory &directory, const FleetSize &size,
                  PeerSender &sender, Gateway &gateway, RandomSource &random,
                  const std::vector<Endpoint> &seeds, bool isFirstStart);

    /** To be called several times a second. */
    void tick();
    void take(const ReachProbe &probe);
    void take(const ReachReply &reply);
    void take(const TargetLimitNotice &notice) { m_gateway.take(notice); }
    void take(const BrittlenessNotice &notice) { m_gateway.take(notice); }
    void take(const TargetFullNotice &notice) { m_gateway.take(notice); }
    void take(const CrashNotice &notice) { m_gateway.suspects().take(notice); }
    void take(const SuspectQuery &query) { m_gateway.suspects().take(query); }
    void take(const SuspectReply &reply) { m_gateway.suspects().take(reply); }
    void take(const PermitRequest &request) { m_gateway.suspects().take(request); }
    void take(const PermitReply &reply) { m_gateway.suspects().take(reply); }
    void take(const PermitReport &report) { m_gateway.suspects().take(report); }
    void take(const StreamOriginNotice &notice) { m_gateway.streams().take(notice); }
    void take(const StreamOriginQuery &query) { m_gateway.streams().take(query); }
    void take(const StreamOriginReply &reply) { m_gateway.streams().take(reply); }
    template <typename Message>
    void take(const Message &message)
    {
        m_gateway.limits().take(message, m_loop.now());
        m_gateway.scheduleLimitReview();
    }

private:
    void send(const Endpoint &to, const LimitMessage &message) override;
    void broadcast(const LimitMessage &message) override;
    void sendProbes();
    std::vector<GrantorCandidate> candidates() const;
    std::vector<LiveDaemon> liveDaemons() const;
    /** Start time of this daemon, if no known daemon started before it. */
    std::optional<Instant> startedTogether() const;
    /** Members that may still serve, including silent ones. */
    std::vector<const KnownMember *> knownMembers() const;

    EventLoop &m_loop;
    const FleetDirectory &m_directory;
    const FleetSize &m_fleetSize;
    PeerSender &m_sender;
    Gateway &m_gateway;
    RandomSource &m_random;
    const std::vector<Endpoint> m_seeds;
    const Instant m_started;
    ReachabilityEstimator m_reachability;
};

} // namespace Apricothook
