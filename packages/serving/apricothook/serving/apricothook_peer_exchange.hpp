#pragma once

#include <apricothook/eventloop/apricothook_datagram_socket.hpp>
#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/fleetview/apricothook_reader_selection.hpp>
#include <apricothook/serving/apricothook_cell_exchange.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>
#include <apricothook/serving/apricothook_limit_exchange.hpp>
#include <apricothook/serving/apricothook_revision_follower.hpp>
#include <apricothook/serving/apricothook_serving_settings.hpp>
#include <apricothook/serving/apricothook_suspect_exchange.hpp>

#include <memory>

namespace Apricothook {

/** All that passes between this daemon and the others. */
class PeerExchange : private PeerSender
{
public:
    /** Between beacons of an idle daemon. */
    static constexpr std::chrono::milliseconds IdlePause {200};
    /** The same in a process's first StartingTime: others wait to know it. */
    static constexpr std::chrono::milliseconds StartingPause {100};
    static constexpr std::chrono::seconds StartingTime {2};
    /**
     * A reader that lost the source and was relieved tries again after so long; until then the
     * next in the cell have shown whether they reach it.
     */
    static constexpr std::chrono::seconds LostMemory {3};
    /** A daemon that peers couldn't serve reads for itself for so long. */
    static constexpr std::chrono::seconds StuckTime {3};

    PeerExchange(EventLoop &loop, const ServingSettings &settings, Incarnation process,
                 Gateway &gateway, PublishedState &published, RandomSource &random,
                 Metrics &metrics, LogWriter &log);
    ~PeerExchange() override;
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** `readingChanged`: this daemon is to read at the source from now on, or no longer. */
    Result<void, ListenError> start(std::function<void(bool reads)> readingChanged);
    /** This daemon's own reading shows another state of the source. */
    void noteOwnSource();
    /** Published items have come into force here. */
    void noteRevision();
    /** This daemon's load or its waiting requests have changed. */
    void noteChange() { m_cell.noteChange(); }
    /** From now on no lookup names this daemon. */
    void startLeaving();
    bool isReady() const { return m_published.hasConfiguration() && !m_leaving; }
    const FleetDirectory &directory() const { return m_directory; }

private:
    void send(const Endpoint &to, const PeerDatagram &datagram) override;
    void send(const std::vector<Endpoint> &to, const PeerDatagram &datagram) override;
    MemberInfo ownBrief() const override;
    std::uint64_t ownRevision() const override;

    void tick();
    void reviewColdTargets();
    void countMembers();
    /** What this daemon, its cell and the readers of the fleet tell of the source. */
    SourceReachability sourceContact() const;
    void noteSource();
    void reviewReading();
    /** To the readers of the other cells, if this daemon reads for them. */
    void sendReaderNote();
    void receive(std::string_view bytes);
    void take(const Heartbeat &beacon);
    void take(const CellLoadReport &report) { m_cell.take(report); }
    void take(const CellSummary &summary);
    void take(const MemberGossip &greeting) { m_fleet.take(greeting); }
    void take(const ReaderAnnouncement &note);
    void take(const SuspectNotice &notice) { m_suspects.take(notice); }
    /** All that customers' limits need. */
    template <typename Message>
    void take(const Message &message)
    {
        m_limits.take(message);
    }

    EventLoop &m_loop;
    const ServingSettings &m_settings;
    const Incarnation m_process;
    Gateway &m_gateway;
    PublishedState &m_published;
    Metrics &m_metrics;
    LogWriter &m_log;
    Instant m_started {};
    bool m_leaving = false;
    bool m_reads = true;
    /** The cell's other members get the items from this one. */
    bool m_isCellReader = true;
    Instant m_readingChanged {};
    Instant m_noted {};
    Instant m_stuckUntil {};
    std::function<void(bool reads)> m_tellReading;
    bool m_revisionTold = true;
    Revision m_lastTold = 0;
    FleetDirectory m_directory;
    FleetSize m_size;
    ColdViewTracker m_cold;
    ColdView m_coldView = ColdView::Alone;
    ReaderSelection m_duty;
    CellExchange m_cell;
    FleetExchange m_fleet;
    LimitExchange m_limits;
    SuspectExchange m_suspects;
    RevisionFollower m_revisions;
    std::unique_ptr<DatagramSocket> m_socket;
    TimerId m_tick = 0;
};

} // namespace Apricothook
