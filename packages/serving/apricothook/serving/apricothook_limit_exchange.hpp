#pragma once

#include <apricothook/dispatch/apricothook_reachability_estimator.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <vector>

namespace Apricothook {

/** Tells the customers' limits who is in the fleet and what of it is reached, and carries their
 * messages. */
class LimitExchange : private LimitMessenger
{
public:
    /**
     * Processes that start within so long of each other were started together. Their incarnations
     * are times of day; VMs that are started at once take some tenths of a second, and their clocks
     * differ by less.
     */
    static constexpr std::chrono::milliseconds StartedTogether {1000};

    LimitExchange(EventLoop &loop, const FleetDirectory &directory, const FleetSize &size,
                  PeerSender &sender, Gateway &gateway, RandomSource &random,
                  const std::vector<Endpoint> &seeds);

    /** To be called some times a second. */
    void tick();
    void take(const ReachProbe &probe);
    void take(const ReachReply &answer);
    template <typename Message>
    void take(const Message &message)
    {
        m_gateway.limits().take(message, m_loop.now());
        m_gateway.scheduleLimitReview();
    }

private:
    void send(const Endpoint &to, const LimitMessage &message) override;
    void sendProbes();
    std::vector<GrantorCandidate> candidates() const;
    /** When this daemon started, if no known one started before it. */
    std::optional<Instant> startedTogether() const;
    /** Members that may be serving, seen or not. */
    std::vector<const KnownMember *> knownMembers() const;

    EventLoop &m_loop;
    const FleetDirectory &m_directory;
    const FleetSize &m_size;
    PeerSender &m_sender;
    Gateway &m_gateway;
    RandomSource &m_random;
    const std::vector<Endpoint> m_seeds;
    const Instant m_started;
    ReachabilityEstimator m_reach;
};

} // namespace Apricothook
