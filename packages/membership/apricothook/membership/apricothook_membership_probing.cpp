// The part of Membership that acts with time: probes, suspicion, joining, mending after a split.

#include <apricothook/membership/apricothook_membership.hpp>
#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_update_order.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Apricothook {

namespace {

constexpr int MostDoubt = 3;

} // namespace

void Membership::probe(const MemberUpdate &subject, Instant now, Mail &out)
{
    const Distance distance = distanceBetween(m_self, subject);
    const Duration learned = m_roundTrips[static_cast<std::size_t>(distance)].timeout();
    const Duration timeout = learned * (1 + m_doubt);
    m_probes.add({++m_sequence, subject, distance, now, timeout, false});
    out.push_back(
        {subject.instance.member, subject.peerAddress,
         Probe {m_sequence, subject.instance.member, m_digest, updatesFor(subject.instance)}});
}

void Membership::probeNext(Instant now, Mail &out)
{
    if (const std::optional<MemberUpdate> member = m_order.next(m_self, live()))
        probe(*member, now, out);
}

void Membership::probeSuspectsAgain(Instant now, Mail &out)
{
    // One lost datagram must not cost a life: the suspect hears of the suspicion from those who
    // hold it, once in each period, and its answer carries the refutation.
    std::vector<MemberUpdate> suspects;
    for (const MemberId &member : m_table.suspects())
        if (const MemberRecord *record = m_table.find(member); record->isSuspectedHere)
            suspects.push_back(record->update);
    const std::size_t count = std::min(suspects.size(), SuspectsProbedAgain);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(suspects[i], suspects[i + below(suspects.size() - i)]);
        probe(suspects[i], now, out);
    }
}

void Membership::askOthers(const PendingProbe &probe, Mail &out)
{
    // Those near the subject are asked first in line: where only this daemon's own way to it is
    // cut, any of them gets through.
    std::vector<const MemberUpdate *> others;
    for (const MemberUpdate &member : live())
        if (member.instance.member != m_self.instance.member
            && member.instance.member != probe.subject.instance.member
            && member.state != MemberState::Suspect)
            others.push_back(&member);
    const std::size_t count = std::min(others.size(), IndirectProbers);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(others[i], others[i + below(others.size() - i)]);
        out.push_back({others[i]->instance.member, others[i]->peerAddress,
                       IndirectProbe {probe.sequence, probe.subject}});
    }
}

void Membership::suspect(const PendingProbe &probe, Instant now, Mail &out)
{
    m_doubt = std::min(m_doubt + 1, MostDoubt);
    MemberRecord *record = m_table.find(probe.subject.instance.member);
    const bool isCurrent = record && record->update.instance == probe.subject.instance
        && record->update.state != MemberState::Dead;
    if (!isCurrent)
        return;
    if (record->update.state != MemberState::Suspect) {
        MemberUpdate suspected = record->update;
        suspected.state = MemberState::Suspect;
        take(suspected, now);
        tell(suspected.instance.member, suspected.peerAddress, out);
    }
    record->isSuspectedHere = true;
}

void Membership::checkProbes(Instant now, Mail &out)
{
    for (const PendingProbe &probe : m_probes.takeOverdue(now))
        askOthers(probe, out);
    for (const PendingProbe &probe : m_probes.takeFailed(now))
        suspect(probe, now, out);
}

Duration Membership::suspicionOf(const MemberUpdate &member, Instant now) const
{
    const Duration usual = suspicionFor(live().size());
    // Daemons in the member's own region find its death sooner and tell. Where nobody there does,
    // it is rather the link between the regions that is cut.
    const bool isFar = distanceBetween(m_self, member) == Distance::Far;
    const Duration wait = isFar ? usual * FarSuspicionFactor : usual;
    return isDeaf(now) ? wait + usual : wait;
}

void Membership::checkSuspects(Instant now)
{
    std::vector<MemberUpdate> dead;
    for (const MemberId &member : m_table.suspects()) {
        const MemberRecord *record = m_table.find(member);
        if (now - record->since >= suspicionOf(record->update, now))
            dead.push_back(record->update);
    }
    for (MemberUpdate &update : dead) {
        update.state = MemberState::Dead;
        take(update, now);
    }
}

void Membership::checkShare(Instant now)
{
    const double share = m_losses.share(live().size(), now);
    if (share < 1 && m_share == 1)
        record(MembershipEvent::PartitionSuspected, m_self.instance);
    if (share == 1 && m_share < 1)
        record(MembershipEvent::PartitionEnded, m_self.instance);
    m_share = share;
}

void Membership::join(Instant now, Mail &out)
{
    if (!m_join.isDue(now))
        return;
    std::vector<Endpoint> seeds = m_join.seeds();
    const std::size_t count = std::min(seeds.size(), JoinSeeds);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(seeds[i], seeds[i + below(seeds.size() - i)]);
        out.push_back(listRequest({}, seeds[i], m_join.nextPage()));
    }
    if (!m_join.isJoined() && now != m_lastSeen)
        record(MembershipEvent::JoinRetried, m_self.instance);
    m_join.tried(now, m_random.next());
}

void Membership::mend(Instant now, Mail &out)
{
    // After a split half of the fleet comes back at once. Gossip alone is slow with so much news,
    // so for a while pages of the list are asked for as often as the lost.
    const Duration wait = now < m_mendingUntil ? ProbePeriod / 2 : MendPeriod;
    m_mendsLost = !m_mendsLost;
    m_nextMend = now + wait + wait * static_cast<int>(below(50)) / 100;
    if (m_mendsLost)
        if (std::optional<Addressed> contact = lostContact()) {
            out.push_back(*std::move(contact));
            return;
        }
    const MemberUpdate &member = live()[below(live().size())];
    if (member.instance.member != m_self.instance.member)
        out.push_back(listRequest(member.instance.member, member.peerAddress, randomPage()));
}

/** Asks one of the dead, or a seed that isn't a live member, in case that it is back. */
std::optional<Addressed> Membership::lostContact()
{
    std::vector<std::pair<MemberId, Endpoint>> lost;
    std::set<Endpoint> known;
    for (const auto &[member, record] : m_table.records()) {
        known.insert(record.update.peerAddress);
        if (record.update.state == MemberState::Dead && !record.isLeaving)
            lost.emplace_back(member, record.update.peerAddress);
    }
    for (const Endpoint &seed : m_join.seeds())
        if (!known.contains(seed))
            lost.emplace_back(MemberId(), seed);
    if (lost.empty())
        return std::nullopt;
    const auto &[member, address] = lost[below(lost.size())];
    return listRequest(member, address, randomPage());
}

std::uint32_t Membership::randomPage()
{
    return static_cast<std::uint32_t>(below(live().size()));
}

Addressed Membership::listRequest(const MemberId &to, const Endpoint &address,
                                  std::uint32_t from) const
{
    return {to, address, MemberListRequest {m_self, from}};
}

/** Itself, the reader's accusation if there is one, and others from the `from`th on. */
MemberList Membership::pageFor(const MemberInstance &reader, std::uint32_t from)
{
    MemberList page;
    page.from = from;
    page.digest = m_digest;
    if (!m_isObsolete)
        page.members.push_back(m_self);
    if (const MemberUpdate *accusation = accusationOf(reader))
        page.members.push_back(*accusation);
    std::size_t room = UpdateBytes;
    for (const MemberUpdate &member : page.members)
        room -= std::min(room, wireBound(member));
    for (const MemberUpdate &member : live()) {
        if (member.instance.member == reader.member
            || member.instance.member == m_self.instance.member)
            continue;
        const std::size_t size = wireBound(member);
        if (page.total++ < from || room < size)
            continue;
        room -= size;
        page.members.push_back(member);
    }
    return page;
}

} // namespace Apricothook
