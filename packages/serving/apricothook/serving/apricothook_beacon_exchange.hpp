#pragma once

#include <apricothook/eventloop/apricothook_datagram_socket.hpp>
#include <apricothook/fleetview/apricothook_beacon_table.hpp>
#include <apricothook/fleetview/apricothook_peer_item_fetcher.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>
#include <apricothook/serving/apricothook_serving_settings.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** Sends this daemon's beacons and takes those of the others into its decisions. */
class BeaconExchange
{
public:
    /** An idle daemon's beacons. */
    static constexpr std::chrono::milliseconds IdlePause {200};
    /** Changes gather for so long; others learn of a taken slot that much later. */
    static constexpr std::chrono::milliseconds ChangePause {25};
    /** A peer's later revision is asked for when the own source hasn't told it by then. */
    static constexpr std::chrono::milliseconds OwnSourceTime {250};

    BeaconExchange(EventLoop &loop, const ServingSettings &settings, Incarnation incarnation,
                   Gateway &gateway, PublishedState &published, LogWriter &log);
    ~BeaconExchange();
    BeaconExchange(const BeaconExchange &) = delete;
    BeaconExchange &operator=(const BeaconExchange &) = delete;

    Result<void, ListenError> start();
    /** The next beacon goes soon. */
    void noteChange();
    /** From now on no lookup names this daemon. */
    void startLeaving();
    bool isReady() const { return m_published.hasConfiguration() && !m_leaving; }
    const BeaconTable &members() const { return m_members; }

private:
    void tick();
    void send();
    Beacon ownBeacon() const;
    void receive(std::string_view bytes);
    void applyToGateway(const Beacon &beacon, const BeaconEffect &effect);
    void forget(const MemberId &member);
    void noteRevision(const Beacon &beacon);

    EventLoop &m_loop;
    const ServingSettings &m_settings;
    const Incarnation m_incarnation;
    Gateway &m_gateway;
    PublishedState &m_published;
    LogWriter &m_log;
    BeaconTable m_members;
    PeerItemFetcher m_fetcher;
    std::unique_ptr<DatagramSocket> m_socket;
    std::uint64_t m_sequence = 0;
    bool m_leaving = false;
    bool m_changed = false;
    /** Since when a peer has had a later revision than this daemon. */
    std::optional<Instant> m_behindSince;
    Revision m_laterRevision = 0;
    TimerId m_tick = 0;
    TimerId m_change = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Apricothook
