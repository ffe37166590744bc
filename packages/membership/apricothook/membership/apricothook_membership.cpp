#include <apricothook/membership/apricothook_membership.hpp>
#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_update_order.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

bool isAccused(MemberState state)
{
    return state == MemberState::Suspect || state == MemberState::Dead;
}

} // namespace

Membership::Membership(MemberUpdate self, RandomSource &random, EventSink &events)
    : m_self(std::move(self)), m_random(random), m_events(events), m_order(random)
{
    m_table.merge(m_self, {});
}

void Membership::start(const std::vector<Endpoint> &seeds, Instant now, Mail &out)
{
    std::vector<Endpoint> others = seeds;
    std::erase(others, m_self.peerAddress);
    m_isStarted = true;
    m_lastSeen = now;
    m_lastHeard = now;
    m_nextProbe = now + ProbePeriod * static_cast<int>(below(100)) / 100;
    m_nextMend = now + MendPeriod;
    m_join.start(std::move(others), now);
    join(now, out);
}

void Membership::handle(const MemberInstance &from, const Endpoint &address, const Probe &message,
                        Instant now, Mail &out)
{
    hear(now);
    if (m_isFinished)
        return;
    takeAll(message.updates, from, now);
    noteDigest(from, message.digest);
    out.push_back(
        {from.member, address,
         ProbeReply {message.sequence, m_self.instance.member, m_digest, updatesFor(from)}});
}

void Membership::handle(const MemberInstance &from, const Endpoint &address,
                        const ProbeReply &message, Instant now, Mail &out)
{
    hear(now);
    const bool isRefuted = takeAll(message.updates, from, now);
    const bool isDirect = from.member == message.subject;
    if (isDirect)
        noteDigest(from, message.digest);
    if (isRefuted)
        tell(from.member, address, out);
    if (const std::optional<ProbeRelay> relay = m_relays.take(message.sequence)) {
        ProbeReply relayed {relay->askedSequence, message.subject, message.digest, {}};
        if (const MemberRecord *subject = m_table.find(message.subject))
            relayed.updates.push_back(subject->update);
        out.push_back({relay->asker, relay->askerAddress, std::move(relayed)});
    }
    const std::optional<PendingProbe> probe = m_probes.answer(message.sequence, message.subject);
    if (!probe)
        return;
    m_doubt = std::max(0, m_doubt - 1);
    if (isDirect)
        m_roundTrips[static_cast<std::size_t>(probe->distance)].learn(now - probe->sentAt);
}

void Membership::handle(const MemberInstance &from, const Endpoint &address,
                        const IndirectProbe &message, Instant now, Mail &out)
{
    hear(now);
    if (take(message.subject, now))
        tell(from.member, address, out);
    const ProbeRelay relay {++m_sequence, message.sequence, from.member, address,
                            now + LongestProbeTimeout};
    if (!m_relays.add(relay, now))
        return;
    const MemberInstance &subject = message.subject.instance;
    out.push_back({subject.member, message.subject.peerAddress,
                   Probe {relay.sequence, subject.member, m_digest, updatesFor(subject)}});
}

void Membership::handle(const MemberInstance &from, const Endpoint &address,
                        const MemberListRequest &message, Instant now, Mail &out)
{
    hear(now);
    if (m_isFinished)
        return;
    takeAll({message.self}, from, now);
    out.push_back({from.member, address, pageFor(from, message.from)});
}

void Membership::handle(const MemberInstance &from, const Endpoint &address,
                        const MemberList &message, Instant now, Mail &out)
{
    hear(now);
    if (takeAll(message.members, from, now))
        tell(from.member, address, out);
    noteDigest(from, message.digest);
    const auto isOther = [&](const MemberUpdate &member) {
        const MemberId &id = member.instance.member;
        return id != m_self.instance.member && id != from.member;
    };
    const auto others = std::count_if(message.members.begin(), message.members.end(), isOther);
    if (!m_join.isJoined())
        record(MembershipEvent::FleetJoined, from);
    if (m_join.take(message, static_cast<std::size_t>(others), now))
        out.push_back(listRequest(from.member, address, m_join.nextPage()));
}

void Membership::tick(Instant now, Mail &out)
{
    if (!m_isStarted || m_isFinished)
        return;
    observe(now);
    join(now, out);
    checkProbes(now, out);
    if (now >= m_nextCheck) {
        m_nextCheck = now + ProbePeriod / 4;
        checkSuspects(now);
    }
    if (now >= m_nextProbe) {
        m_nextProbe = std::max(m_nextProbe + ProbePeriod, now + ProbePeriod / 2);
        checkShare(now);
        probeNext(now, out);
        probeSuspectsAgain(now, out);
    }
    if (now >= m_nextMend)
        mend(now, out);
    if (now >= m_nextForget) {
        m_nextForget = now + ForgetPeriod;
        m_table.forgetDead(now - DeadKept);
    }
}

void Membership::leave(Instant now, Mail &out)
{
    m_self.state = MemberState::Leaving;
    m_table.merge(m_self, now);
    m_queue.add(m_self);
    announce(out);
}

void Membership::finish(Instant now, Mail &out)
{
    m_self.state = MemberState::Dead;
    m_isFinished = true;
    if (m_isObsolete)
        return;
    m_table.merge(m_self, now);
    m_queue.add(m_self);
    announce(out);
}

std::optional<StateDigest> Membership::digestOf(const MemberId &member) const
{
    if (member == m_self.instance.member)
        return m_digest;
    const MemberRecord *record = m_table.find(member);
    return record ? record->digest : std::nullopt;
}

void Membership::setLoad(std::uint32_t load)
{
    m_self.load = load;
    m_table.setLoad(m_self);
}

std::optional<MemberUpdate> Membership::find(const MemberId &member) const
{
    const MemberUpdate *found = m_table.findLive(member);
    return found ? std::optional(*found) : std::nullopt;
}

void Membership::observe(Instant now)
{
    // A process that was paused finds every deadline passed at once and would declare live members
    // dead, though it was itself that didn't listen. With fresh time-outs their answers, which
    // wait in the socket, come first.
    if (now - m_lastSeen > PauseGap) {
        m_probes.refresh(now);
        m_table.refreshSuspects(now);
        m_lastHeard = now;
        record(MembershipEvent::PauseNoticed, m_self.instance);
    }
    m_lastSeen = now;
}

void Membership::hear(Instant now)
{
    observe(now);
    // A daemon that was cut off alone has accused everybody. Its word would shake the whole fleet
    // when it is back; the members that it accused will each tell it otherwise.
    if (isDeaf(now))
        m_queue.dropAccusations();
    m_lastHeard = now;
}

bool Membership::isDeaf(Instant now) const
{
    return now - m_lastHeard > DeafAfter;
}

bool Membership::takeAll(const std::vector<MemberUpdate> &updates, const MemberInstance &from,
                         Instant now)
{
    bool isRefuted = false;
    for (const MemberUpdate &update : updates) {
        isRefuted = take(update, now) || isRefuted;
        if (update.instance == from)
            m_table.setLoad(update);
    }
    return isRefuted;
}

/** True when the update accused this daemon and was refuted. */
bool Membership::take(const MemberUpdate &update, Instant now)
{
    if (update.instance.member.isEmpty() || m_isFinished)
        return false;
    if (update.instance.member == m_self.instance.member)
        return takeOwn(update, now);
    const MemberRecord *known = m_table.find(update.instance.member);
    const bool wasDead = known && known->update.state == MemberState::Dead;
    const MemberChange change = m_table.merge(update, now);
    if (change != MemberChange::None)
        changed(change, update, wasDead, now);
    return false;
}

bool Membership::takeOwn(const MemberUpdate &update, Instant now)
{
    if (update.instance.incarnation > m_self.instance.incarnation) {
        // This process was paused, or cut off, while its VM was replaced. Two processes with one
        // name would both be asked as homes and stewards: the older one must go.
        m_table.merge(update, now);
        if (!m_isObsolete)
            record(MembershipEvent::ObsoleteLife, update.instance);
        m_isObsolete = true;
        return false;
    }
    if (m_isObsolete || update.instance != m_self.instance || !replaces(update, m_self))
        return false;
    m_self.refutation = update.refutation + 1;
    m_table.merge(m_self, now);
    m_queue.add(m_self);
    record(MembershipEvent::SelfRefuted, m_self.instance);
    return true;
}

void Membership::changed(MemberChange change, const MemberUpdate &update, bool wasDead, Instant now)
{
    m_queue.add(update);
    const MemberId &member = update.instance.member;
    switch (change) {
    case MemberChange::Joined:
        record(MembershipEvent::MemberJoined, update.instance);
        break;
    case MemberChange::Replaced:
        m_losses.remove(member);
        record(MembershipEvent::MemberReplaced, update.instance);
        break;
    case MemberChange::Returned:
        m_losses.remove(member);
        if (wasDead)
            m_mendingUntil = now + MendingTime;
        record(MembershipEvent::MemberReturned, update.instance);
        break;
    case MemberChange::Suspected:
        record(MembershipEvent::MemberSuspected, update.instance);
        break;
    case MemberChange::Died:
        m_losses.add(member, update.dataCentre, now);
        record(MembershipEvent::MemberDied, update.instance);
        break;
    case MemberChange::Leaving:
        record(MembershipEvent::MemberLeaving, update.instance);
        break;
    case MemberChange::Left:
        record(MembershipEvent::MemberLeft, update.instance);
        break;
    case MemberChange::None:
    case MemberChange::Other:
        break;
    }
}

void Membership::noteDigest(const MemberInstance &life, const StateDigest &digest)
{
    MemberRecord *record = m_table.find(life.member);
    if (record && record->update.instance == life)
        record->digest = digest;
}

void Membership::record(MembershipEvent event, const MemberInstance &life)
{
    m_events.record({static_cast<int>(event),
                     {},
                     "member=" + life.member.text()
                         + " incarnation=" + std::to_string(life.incarnation.value())});
}

/** What `life` must hear first: that it is suspected, dead or replaced; null when it isn't. */
const MemberUpdate *Membership::accusationOf(const MemberInstance &life) const
{
    const MemberRecord *record = m_table.find(life.member);
    if (!record || life.member == m_self.instance.member)
        return nullptr;
    const bool isReplaced = record->update.instance.incarnation > life.incarnation;
    const bool isMeant = record->update.instance == life && isAccused(record->update.state);
    return isReplaced || isMeant ? &record->update : nullptr;
}

std::vector<MemberUpdate> Membership::updatesFor(const MemberInstance &reader)
{
    std::vector<MemberUpdate> updates;
    if (!m_isObsolete)
        updates.push_back(m_self);
    if (const MemberUpdate *accusation = accusationOf(reader))
        updates.push_back(*accusation);
    // A suspect is likely not to hear: news sent to it would count as told. In a split, when half
    // of the fleet is suspected, they would also be most of what a daemon sends.
    const MemberRecord *record = m_table.find(reader.member);
    if (record && isAccused(record->update.state))
        return updates;
    std::size_t used = 0;
    for (const MemberUpdate &update : updates)
        used += wireBound(update);
    m_queue.fill(updates, UpdateBytes - std::min(used, UpdateBytes),
                 transmissionsFor(live().size()));
    return updates;
}

void Membership::tell(const MemberId &to, const Endpoint &address, Mail &out)
{
    const MemberRecord *record = m_table.find(to);
    const MemberInstance reader = record ? record->update.instance : MemberInstance {to, {}};
    out.push_back({to, address, Probe {++m_sequence, to, m_digest, updatesFor(reader)}});
}

void Membership::announce(Mail &out)
{
    for (std::size_t i = 0; i < Announcements; ++i)
        if (const std::optional<MemberUpdate> member = m_order.next(m_self, live()))
            tell(member->instance.member, member->peerAddress, out);
}

} // namespace Apricothook
