#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

namespace Apricothook {

/**
 * Tells the own cell what this daemon does, and takes what its members do into the decisions.
 *
 * The whole state goes out at rest pace; between that only what changes often, soon after it has
 * changed.
 */
class CellExchange
{
public:
    /** Changes gather for so long; others learn of a taken slot that much later. */
    static constexpr std::chrono::milliseconds ChangePause {25};

    CellExchange(EventLoop &loop, const FleetDirectory &directory, PeerSender &sender,
                 Gateway &gateway, LogWriter &log);
    ~CellExchange();
    CellExchange(const CellExchange &) = delete;
    CellExchange &operator=(const CellExchange &) = delete;

    /** Tells all, and forgets the load of members that have fallen silent. */
    void tick();
    /** The next report goes soon. */
    void noteChange();
    void sendBeacon();
    void take(const Heartbeat &beacon);
    void take(const CellLoadReport &report);

private:
    void sendReport();
    CellLoadReport ownReport();
    std::vector<Endpoint> addresses() const;
    void apply(std::uint64_t member, const HeartbeatChange &effect);
    void forget(const MemberId &member);

    EventLoop &m_loop;
    const FleetDirectory &m_directory;
    PeerSender &m_sender;
    Gateway &m_gateway;
    LogWriter &m_log;
    HeartbeatTable m_mates;
    std::uint64_t m_sequence = 0;
    bool m_changed = false;
    TimerId m_change = 0;
};

} // namespace Apricothook
