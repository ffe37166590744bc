#include <apricothook/core/internal/apricothook_peer_dispatcher.hpp>

#include <apricothook/core/internal/apricothook_core_parts.hpp>

namespace Apricothook {

namespace {

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

void PeerDispatcher::dispatch(const PeerMessageReceived &arrived, Instant now, Results &results)
{
    const MemberId &from = arrived.from.member;
    Outbox &out = results.outbox;
    CoreParts &p = m_parts;
    const auto toMembership = [&](const auto &message) {
        p.members.handle(arrived.from, arrived.address, message, now, results.mail);
    };
    const auto toGossip = [&](const auto &message) {
        toMembership(message);
        digestSeen(arrived, message.digest, now, results);
    };
    const auto toSteward = [&](const auto &message) { p.steward.handle(from, message, now, out); };
    const auto toHome = [&](const auto &message) { p.keyHome.handle(from, message, now, out); };
    const auto toFlow = [&](const auto &message) { p.flow.handle(from, message, now, out); };
    std::visit(Overloaded {
                   [&](const Probe &m) { toGossip(m); },
                   [&](const ProbeReply &m) { toGossip(m); },
                   [&](const IndirectProbe &m) { toMembership(m); },
                   [&](const MemberListRequest &m) { toMembership(m); },
                   [&](const MemberList &m) { toGossip(m); },
                   [&](const VmList &m) { p.keeper.vmsArrived(m, results.configuration); },
                   [&](const VmListRequest &m) {
                       p.keeper.vmListRequested(from, m, results.configuration);
                   },
                   [&](const DigestRequest &m) {
                       p.keeper.digestRequested(from, m, results.configuration);
                   },
                   [&](const DigestReply &m) {
                       p.homeMap.noteGeneration(from, m.digest.generation, now);
                       p.keeper.digestReplied(senderOf(arrived), m, now, results.configuration);
                       p.orders.digestReplied(from, m);
                   },
                   [&](const GrantRequest &m) { toHome(m); },
                   [&](const GrantReply &m) {
                       p.homeMap.noteGeneration(from, m.generation, now);
                       toFlow(m);
                   },
                   [&](const OutcomeReport &m) { toHome(m); },
                   [&](const OutcomeAcknowledged &m) { p.flow.handle(from, m); },
                   [&](const KeyQuery &m) { toHome(m); },
                   [&](const KeyQueryReply &m) { toFlow(m); },
                   [&](const ReserveRequest &m) { toSteward(m); },
                   [&](const ReserveReply &m) {
                       // A refusal tells more of the shard than its last summary.
                       if (m.verdict == ReserveVerdict::Elsewhere
                           || m.verdict == ReserveVerdict::Shed)
                           p.router.chooser().learnFull(m.shard, m.retryAfter, now);
                       toFlow(m);
                   },
                   [&](const ReserveCancel &m) { toSteward(m); },
                   [&](const Release &m) { toSteward(m); },
                   [&](const InFlightReport &m) { toSteward(m); },
                   [&](const ShardSummary &m) { p.router.chooser().learn(m, now); },
                   [&](const FloorRaise &m) { toSteward(m); },
                   [&](const FloorAcknowledged &m) { toSteward(m); },
                   [&](const SuspectNotice &m) { p.suspects.handle(from, m, now, out); },
                   [&](const LimitDemand &m) { p.limits.handle(from, m, now, out); },
                   [&](const LimitShare &m) { p.limits.handle(from, m, now); },
                   [&](const RunHint &m) { p.hints.keep(m, now); },
                   [&](const HintQuery &m) {
                       out.push_back({from, p.hints.answer(m, now)});
                   },
                   [&](const HintReply &m) { toFlow(m); },
               },
               arrived.message);
}

MemberUpdate PeerDispatcher::senderOf(const PeerMessageReceived &arrived) const
{
    if (const std::optional<MemberUpdate> known = m_parts.members.find(arrived.from.member))
        return *known;
    MemberUpdate sender;
    sender.instance = arrived.from;
    sender.peerAddress = arrived.address;
    return sender;
}

void PeerDispatcher::digestSeen(const PeerMessageReceived &arrived, const StateDigest &digest,
                                Instant now, Results &results)
{
    m_parts.homeMap.noteGeneration(arrived.from.member, digest.generation, now);
    m_parts.keeper.digestSeen(senderOf(arrived), digest, now, results.configuration);
}

} // namespace Apricothook
