#pragma once

#include <apricothook/eventloop/apricothook_datagram_socket.hpp>
#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/fleetview/apricothook_reader_selection.hpp>
#include <apricothook/fleetview/apricothook_view_age.hpp>
#include <apricothook/serving/apricothook_cell_exchange.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>
#include <apricothook/serving/apricothook_limit_exchange.hpp>
#include <apricothook/serving/apricothook_revision_follower.hpp>
#include <apricothook/serving/apricothook_serving_settings.hpp>

#include <memory>

namespace Apricothook {

/** Sends and receives all datagrams between this daemon and the others. */
class PeerExchange : private PeerSender
{
public:
    /** Interval of heartbeats while nothing changes. */
    static constexpr std::chrono::milliseconds HeartbeatInterval {200};
    /** Interval of heartbeats during StartupTime, for faster discovery by the others. */
    static constexpr std::chrono::milliseconds StartupHeartbeatInterval {100};
    static constexpr std::chrono::seconds StartupTime {2};
    /**
     * A reader that lost the source and was replaced becomes eligible again after this time; by
     * then the next members of the cell have shown whether they reach the source.
     */
    static constexpr std::chrono::seconds ReaderRetryDelay {3};
    /**
     * How long a daemon reads at the source after peers failed to deliver the items or to confirm
     * its view.
     */
    static constexpr std::chrono::seconds DirectReadTime {3};

    /** Time within which all daemons of a cell know of a new or leaving member. */
    static constexpr std::chrono::seconds ShareSettlingTime {2};

    PeerExchange(EventLoop &loop, const ServingSettings &settings, Incarnation process,
                 Gateway &gateway, PublishedState &published, RandomSource &random,
                 Metrics &metrics, LogWriter &log);
    ~PeerExchange() override;
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** Calls `readingChanged` when this daemon is to start or stop reading at the source. */
    Result<void, ListenError> start(std::function<void(bool reads)> readingChanged);
    /** To be called when this daemon's own reading finds a different state of the source. */
    void onOwnSourceStateChanged();
    /**
     * To be called when this daemon's own reading shows that its view contains all changes that
     * had been published at `time`.
     */
    void onSourceConfirmed(Instant time);
    /** To be called after published items have been applied. */
    void onItemsApplied();
    /** To be called when this daemon's load or its waiting requests have changed. */
    void onLoadChanged() { m_cell.scheduleReport(); }
    /** Removes this daemon from lookups. */
    void startDraining();
    /** Age of this daemon's view of the published items; empty before it knows any. */
    std::optional<Duration> viewAge() const { return m_viewAge.age(m_loop.now()); }
    bool isReady() const { return m_published.hasConfiguration() && !m_draining; }
    const FleetDirectory &directory() const { return m_directory; }

private:
    void send(const Endpoint &to, const PeerDatagram &datagram) override;
    void send(const std::vector<Endpoint> &to, const PeerDatagram &datagram) override;
    MemberInfo ownInfo() const override;
    std::uint64_t ownRevision() const override;
    ViewReport ownView() const override;

    void tick();
    void reviewColdTargets();
    /** Daemons that share the slots of brittle targets; empty while they aren't known. */
    std::vector<std::uint64_t> shareMembers(const ColdTargetSenders &fleet) const;
    Duration shareSettlingTime() const;
    void reviewFleetSize();
    /** State of the source as reported by this daemon, its cell and the fleet's readers. */
    SourceReachability sourceReachability() const;
    void updateSourceReachability();
    void reviewReading();
    void confirmView(const ViewReport &report);
    /** Tells the gateway and the published state until when all that was published is known. */
    void passViewOn();
    /** Checks and logs whether this daemon's view is confirmed recently enough. */
    void reviewViewAge();
    /** Informs the readers of the other cells, if this daemon reads for the fleet. */
    void sendReaderAnnouncement();
    void receive(std::string_view bytes);
    void take(const Heartbeat &heartbeat);
    void take(const CellLoadReport &report) { m_cell.take(report); }
    void take(const CellSummary &summary);
    void take(const MemberGossip &gossip) { m_fleet.take(gossip); }
    void take(const ReaderAnnouncement &announcement);
    /** Sent by earlier versions; CrashNotice took its place. */
    void take(const SuspectNotice &) { }
    /** Messages of limits and of suspect requests. */
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
    bool m_draining = false;
    bool m_readsSource = true;
    /** The other members of the cell get the items from this daemon. */
    bool m_isCellReader = true;
    Instant m_readingChanged {};
    Instant m_lastAnnouncement {};
    Instant m_directReadUntil {};
    std::function<void(bool reads)> m_onReadingChanged;
    bool m_revisionAnnounced = true;
    Revision m_lastAnnouncedRevision = 0;
    FleetDirectory m_directory;
    FleetSize m_fleetSize;
    ColdViewTracker m_coldViewTracker;
    ColdView m_coldView = ColdView::Alone;
    ReaderSelection m_readerSelection;
    CellExchange m_cell;
    FleetExchange m_fleet;
    LimitExchange m_limits;
    RevisionFollower m_revisions;
    ViewAge m_viewAge;
    bool m_isViewOld = false;
    std::unique_ptr<DatagramSocket> m_socket;
    TimerId m_tick = 0;
};

} // namespace Apricothook
