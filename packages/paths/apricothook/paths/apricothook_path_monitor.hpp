#pragma once

#include <apricothook/observe/apricothook_structured_log.hpp>
#include <apricothook/paths/apricothook_reach_inquiry.hpp>
#include <apricothook/paths/apricothook_relay_selection.hpp>
#include <apricothook/paths/apricothook_target_connector.hpp>
#include <apricothook/paths/apricothook_target_paths.hpp>

#include <map>
#include <memory>

namespace Apricothook {

/** How far an attempt got that brought no complete response. */
enum class AttemptLoss {
    NotConnected, ///< No byte of the request was sent.
    Unanswered,   ///< No byte of a response was received.
    CutShort,     ///< The response was incomplete.
};

/** Notified of what an inquiry found about a target. */
class ReachListener
{
public:
    virtual ~ReachListener() = default;
    /** `losses`: attempts on this daemon's own path that failed since the last inquiry. */
    virtual void onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion,
                                  unsigned losses)
        = 0;
};

/**
 * Opens connections to targets on this daemon's own paths, or through another daemon where the own
 * path is lost.
 *
 * A failed attempt doesn't tell whether the target or the path is at fault. It starts an inquiry:
 * this daemon connects once more, and if that fails it asks others. If one of them reaches the
 * target, the path is lost, and the paths to all other targets are tested before they are used
 * again. Nothing is tested and no other daemon is asked while all attempts succeed.
 */
class PathMonitor : public TargetConnector, private ReachInquiryListener
{
public:
    /** A round trip takes milliseconds; a slower target is down or its listen queue is full. */
    static constexpr std::chrono::milliseconds ConnectTimeout {150};
    /** Another daemon needs a connection of its own before it answers. */
    static constexpr std::chrono::milliseconds RelayTimeout {400};
    /** Daemons that are asked whether they reach a target. */
    static constexpr std::size_t PanelSize = 8;

    /** `from`: address of this VM to connect from. */
    PathMonitor(EventLoop &loop, ReachListener &listener, const DataCentreId &dataCentre,
                RandomSource &random, LogWriter &log, std::string from);
    ~PathMonitor() override;
    PathMonitor(const PathMonitor &) = delete;
    PathMonitor &operator=(const PathMonitor &) = delete;

    /** Without peers, the daemon assumes that it is the only one. */
    void setPeers(const RelayPeers &peers) { m_peers = &peers; }

    OpeningConnection open(const TargetEntry &target, const RequestKey &request,
                           StreamSocketEvents &events) override;
    bool isUsable(const TargetEntry &target, const std::optional<Endpoint> &relay) const override;

    /** An attempt failed. `relay`: the daemon that carried it; empty on this daemon's own path. */
    void recordLost(const TargetEntry &target, const std::optional<Endpoint> &relay,
                    AttemptLoss loss);
    /** Starts an inquiry about the target unless one is running. */
    void inquire(const TargetEntry &target);
    void forget(const TargetInstance &target);

    const TargetPaths &paths() const { return m_paths; }

private:
    void onRelayAnswered(const TargetEntry &target, const Endpoint &relay,
                         RelayOutcome outcome) override;
    void onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion) override;
    void onInquiryFinished(const TargetInstance &target) override;

    void startInquiry(const TargetEntry &target);
    /** Tests the path if it isn't trusted and hasn't been tested lately. */
    void testIfDue(const TargetEntry &target);
    void recordPath(const TargetEntry &target, const ReachConclusion &conclusion);
    OpeningConnection openRelayed(const TargetEntry &target, const RequestKey &request,
                                  const Endpoint &relay, StreamSocketEvents &events);
    std::vector<RelayCandidate> candidates() const;

    EventLoop &m_loop;
    ReachListener &m_listener;
    LogWriter &m_log;
    const std::string m_from;
    const RelayPeers *m_peers = nullptr;
    TargetPaths m_paths;
    RelaySelection m_relays;
    std::map<TargetInstance, std::unique_ptr<ReachInquiry>> m_inquiries;
    std::map<TargetInstance, unsigned> m_losses;
};

} // namespace Apricothook
