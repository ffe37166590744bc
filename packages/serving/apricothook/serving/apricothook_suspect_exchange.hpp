#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/gateway/apricothook_suspect_guard.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>
#include <apricothook/suspects/apricothook_answered_requests.hpp>
#include <apricothook/suspects/apricothook_suspect_list.hpp>

namespace Apricothook {

/** Adapts the live members of a directory to the interface that the list of suspects needs. */
class LiveMembers : public MemberView
{
public:
    LiveMembers(const FleetDirectory &directory, const MemberInfo &self);

    /** Copies the present members from the directory. */
    void review(Instant now);

    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return m_live; }
    std::optional<MemberUpdate> find(const MemberId &member) const override;
    std::uint64_t version() const override { return m_version; }
    double visibleShare() const override { return 1; }

private:
    const FleetDirectory &m_directory;
    const MemberInstance m_self;
    std::vector<MemberUpdate> m_live;
    std::uint64_t m_version = 0;
};

/**
 * Quarantines requests that crash their targets, for the whole fleet.
 *
 * Many callers may send identical requests at the same time, so some of them run at any target that
 * crashes. A daemon therefore doesn't suspect requests that were answered recently, and clears them
 * at the daemons that do: it sends a notice without crashes, which receivers forward if they
 * suspected the request.
 */
class SuspectExchange : public SuspectGuard, private EventSink
{
public:
    SuspectExchange(EventLoop &loop, const FleetDirectory &directory, PeerSender &sender,
                    RandomSource &random, LogWriter &log);

    std::optional<Duration> quarantine(Fingerprint request) override;
    void recordAnswer(Fingerprint request) override;
    void recordCrash(const TargetId &target, const std::vector<Fingerprint> &requests) override;
    void take(const SuspectNotice &notice);

private:
    void record(const DecisionEvent &event) override;
    void send(const Outbox &out);
    void sendCleared(Fingerprint request);

    EventLoop &m_loop;
    PeerSender &m_sender;
    RandomSource &m_random;
    LogWriter &m_log;
    LiveMembers m_members;
    SuspectList m_list;
    AnsweredRequests m_answered;
};

} // namespace Apricothook
