#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

namespace Apricothook {

/**
 * Exchanges state with the other members of the own cell.
 *
 * Sends heartbeats with the whole state of this daemon at a fixed interval, and load reports
 * shortly after a change. Applies the load and the waiting requests of the other members at the
 * gateway.
 */
class CellExchange
{
public:
    /** Batches changes into one report; delays by as much the notice that a slot is in use. */
    static constexpr std::chrono::milliseconds ReportDelay {25};

    CellExchange(EventLoop &loop, const FleetDirectory &directory, PeerSender &sender,
                 Gateway &gateway, LogWriter &log);
    ~CellExchange();
    CellExchange(const CellExchange &) = delete;
    CellExchange &operator=(const CellExchange &) = delete;

    /** Sends a heartbeat, and clears the load of members whose heartbeats have stopped. */
    void tick();
    /** Sends a report within ReportDelay. */
    void scheduleReport();
    void sendHeartbeat();
    void take(const Heartbeat &heartbeat);
    void take(const CellLoadReport &report);

private:
    void sendReport();
    CellLoadReport ownReport();
    std::vector<Endpoint> addresses() const;
    void apply(std::uint64_t member, const HeartbeatChange &change);
    void clearLoad(const MemberId &member);

    EventLoop &m_loop;
    const FleetDirectory &m_directory;
    PeerSender &m_sender;
    Gateway &m_gateway;
    LogWriter &m_log;
    HeartbeatTable m_peers;
    std::uint64_t m_sequence = 0;
    bool m_reportPending = false;
    TimerId m_reportTimer = 0;
};

} // namespace Apricothook
