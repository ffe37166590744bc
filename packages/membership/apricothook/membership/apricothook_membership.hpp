#pragma once

#include <apricothook/membership/apricothook_addressed.hpp>
#include <apricothook/membership/apricothook_membership_event.hpp>
#include <apricothook/membership/internal/apricothook_join_progress.hpp>
#include <apricothook/membership/internal/apricothook_loss_record.hpp>
#include <apricothook/membership/internal/apricothook_member_table.hpp>
#include <apricothook/membership/internal/apricothook_pending_probes.hpp>
#include <apricothook/membership/internal/apricothook_probe_order.hpp>
#include <apricothook/membership/internal/apricothook_probe_relays.hpp>
#include <apricothook/membership/internal/apricothook_round_trip.hpp>
#include <apricothook/membership/internal/apricothook_update_queue.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>

#include <array>

namespace Apricothook {

/**
 * Who is in the fleet, found by gossip with probes, indirect probes, suspicion and incarnations
 * (after A. Das, I. Gupta, A. Motivala, "SWIM", 2002), at a constant cost per daemon. A single
 * thread calls it; see docs/MEMBERSHIP.md for the rules and their reasons.
 */
class Membership : public MemberView
{
public:
    Membership(MemberUpdate self, RandomSource &random, EventSink &events);

    /** Joins through the seeds, of which this daemon may be one. */
    void start(const std::vector<Endpoint> &seeds, Instant now, Mail &out);
    void handle(const MemberInstance &from, const Endpoint &address, const Probe &message,
                Instant now, Mail &out);
    void handle(const MemberInstance &from, const Endpoint &address, const ProbeReply &message,
                Instant now, Mail &out);
    void handle(const MemberInstance &from, const Endpoint &address, const IndirectProbe &message,
                Instant now, Mail &out);
    void handle(const MemberInstance &from, const Endpoint &address,
                const MemberListRequest &message, Instant now, Mail &out);
    void handle(const MemberInstance &from, const Endpoint &address, const MemberList &message,
                Instant now, Mail &out);
    /** To be called every 50 to 200 ms. */
    void tick(Instant now, Mail &out);
    /** Tells that this daemon takes no new work; it stays a member. */
    void leave(Instant now, Mail &out);
    /** Tells that this daemon ends now; nothing is to be called after it. */
    void finish(Instant now, Mail &out);

    /** What this daemon has in force; rides on probes. */
    void setDigest(const StateDigest &digest) { m_digest = digest; }
    /** What a member said last that it has in force; nothing before it said so. */
    std::optional<StateDigest> digestOf(const MemberId &member) const;
    void setLoad(std::uint32_t load);
    /** True once any member answered, or when there are no seeds. */
    bool isJoined() const { return m_join.isJoined(); }
    /** True once a newer process has this daemon's name: drain as leaving and stop. */
    bool isObsolete() const { return m_isObsolete; }

    const MemberInstance &self() const override { return m_self.instance; }
    const std::vector<MemberUpdate> &live() const override { return m_table.live(); }
    std::optional<MemberUpdate> find(const MemberId &member) const override;
    std::uint64_t version() const override { return m_table.version(); }
    double visibleShare() const override { return m_share; }

private:
    void observe(Instant now);
    void hear(Instant now);
    bool isDeaf(Instant now) const;
    bool takeAll(const std::vector<MemberUpdate> &updates, const MemberInstance &from, Instant now);
    bool take(const MemberUpdate &update, Instant now);
    bool takeOwn(const MemberUpdate &update, Instant now);
    void changed(MemberChange change, const MemberUpdate &update, bool wasDead, Instant now);
    void noteDigest(const MemberInstance &life, const StateDigest &digest);
    void record(MembershipEvent event, const MemberInstance &life);

    std::vector<MemberUpdate> updatesFor(const MemberInstance &reader);
    const MemberUpdate *accusationOf(const MemberInstance &life) const;
    void tell(const MemberId &to, const Endpoint &address, Mail &out);
    void announce(Mail &out);
    void probe(const MemberUpdate &subject, Instant now, Mail &out);
    void probeNext(Instant now, Mail &out);
    void probeSuspectsAgain(Instant now, Mail &out);
    void askOthers(const PendingProbe &probe, Mail &out);
    void suspect(const PendingProbe &probe, Instant now, Mail &out);
    void checkProbes(Instant now, Mail &out);
    void checkSuspects(Instant now);
    void checkShare(Instant now);
    Duration suspicionOf(const MemberUpdate &member, Instant now) const;
    void join(Instant now, Mail &out);
    void mend(Instant now, Mail &out);
    std::optional<Addressed> lostContact();
    Addressed listRequest(const MemberId &to, const Endpoint &address, std::uint32_t from) const;
    std::uint32_t randomPage();
    MemberList pageFor(const MemberInstance &reader, std::uint32_t from);
    std::size_t below(std::size_t bound) { return m_random.next() % bound; }

    MemberUpdate m_self;
    RandomSource &m_random;
    EventSink &m_events;
    StateDigest m_digest;
    MemberTable m_table;
    UpdateQueue m_queue;
    ProbeOrder m_order;
    PendingProbes m_probes;
    ProbeRelays m_relays;
    JoinProgress m_join;
    LossRecord m_losses;
    std::array<RoundTrip, 3> m_roundTrips;
    std::uint64_t m_sequence = 0;
    /** Probes failed of late: a slow daemon gives others more time. */
    int m_doubt = 0;
    double m_share = 1;
    bool m_isStarted = false;
    bool m_isFinished = false;
    bool m_isObsolete = false;
    bool m_mendsLost = false;
    Instant m_lastSeen {};
    Instant m_lastHeard {};
    Instant m_nextProbe {};
    Instant m_nextCheck {};
    Instant m_nextMend {};
    Instant m_nextForget {};
    Instant m_mendingUntil {};
};

} // namespace Apricothook
