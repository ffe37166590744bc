#include <apricothook/homes/apricothook_key_home.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

bool contains(const std::vector<MemberId> &members, const MemberId &member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

ExchangeRef *closedOf(KeyRecord &record, const ExchangeRef &attempt)
{
    const auto found = std::find_if(
        record.closed.begin(), record.closed.end(),
        [&attempt](const ExchangeRef &closed) { return closed.isSameExchange(attempt); });
    return found == record.closed.end() ? nullptr : &*found;
}

/** The last attempt of this exchange that was closed; 0 when none was. */
std::uint32_t lastClosed(KeyRecord &record, const ExchangeRef &attempt)
{
    const ExchangeRef *closed = closedOf(record, attempt);
    const bool wasHolder
        = record.state == RecordState::Closed && attempt.isSameExchange(record.holder);
    return std::max(closed ? closed->attempt : 0, wasHolder ? record.holder.attempt : 0);
}

KeyState stateOf(const KeyRecord &record, bool isHolderAlive)
{
    switch (record.state) {
    case RecordState::Closed:
        return KeyState::NotRun;
    case RecordState::Granted:
        return isHolderAlive ? KeyState::Running : KeyState::Unknown;
    case RecordState::Answered:
        return KeyState::Answered;
    case RecordState::Unknown:
        break;
    }
    return KeyState::Unknown;
}

} // namespace

KeyHome::KeyHome(const HomeMap &map, const MemberView &members, EventSink &events,
                 KeyHomeLimits limits, Instant startedAt)
    : m_map(map), m_members(members), m_events(events), m_limits(limits), m_startedAt(startedAt)
{
}

void KeyHome::setLimits(const KeyHomeLimits &limits, Instant now)
{
    const bool isFirst = !m_isConfigured;
    m_isConfigured = true;
    const Duration window = isFirst ? limits.window : std::max(m_limits.window, limits.window);
    // Under the shorter window some records are gone already that the longer one would have kept.
    if (window > m_limits.window)
        m_forgottenBefore = std::max(m_forgottenBefore, now - m_limits.window);
    m_limits = limits;
    m_limits.window = window;
}

Duration KeyHome::untilMemoryWhole(Instant now) const
{
    return std::max(Duration::zero(), m_startedAt + m_limits.window - now);
}

void KeyHome::expire(Instant now)
{
    m_store.expire(now, m_limits.window, [this](const KeyRecord &record) {
        return record.state == RecordState::Granted && isHolderAlive(record);
    });
}

KeyHome::Standing KeyHome::ticketStanding(const Ticket &ticket, Instant now) const
{
    const MemberInstance &self = m_members.self();
    Standing standing;
    standing.homes = {ticket.home.member};
    standing.isHome = ticket.home.member == self.member;
    // A record is kept for a window after the key was used, and a key can't be used before its
    // ticket was issued. So an unknown key on a younger ticket was never granted, and an older one
    // may have been: it is refused for good, not only for the window.
    const Instant issued(std::chrono::milliseconds(ticket.issuedMilliseconds));
    standing.mayBeForgotten = ticket.home.incarnation != self.incarnation
        || issued + m_limits.window <= now || issued <= m_forgottenBefore;
    return standing;
}

KeyHome::Standing KeyHome::standingOf(const RequestKey &key, const CustomerId &customer,
                                      Instant now) const
{
    const auto ticket = m_map.reader().read(key);
    if (ticket && ticket.value())
        return ticketStanding(*ticket.value(), now);
    const auto choice = m_map.homesOf(key, customer, now);
    Standing standing;
    if (!choice)
        return standing;
    standing.homes = choice.value().homes;
    standing.isHome = contains(standing.homes, m_members.self().member);
    // The life before this one may have granted the key and died with the record. Granting it again
    // would be a second run; after a window no resend of that time counts as the same request.
    standing.mayBeForgotten = untilMemoryWhole(now) > Duration::zero();
    return standing;
}

bool KeyHome::asksAllHomes(const GrantRequest &request, const Standing &standing) const
{
    // An entry that knows another roster would ask a home that doesn't know of this grant. It gets
    // WrongHome with the homes, and asks all of them.
    return std::all_of(
        standing.homes.begin(), standing.homes.end(), [this, &request](const MemberId &home) {
            return home == m_members.self().member || contains(request.otherHomes, home);
        });
}

void KeyHome::handle(const MemberId &from, const GrantRequest &request, Instant now, Outbox &out)
{
    expire(now);
    const Standing standing = standingOf(request.key, request.customer, now);
    GrantReply reply;
    reply.attempt = request.attempt;
    reply.key = request.key;
    reply.generation = m_map.generation();
    const KeyRecord *known = nullptr;
    reply.verdict
        = from == request.attempt.entry.member && standing.isHome && asksAllHomes(request, standing)
        ? decide(request, standing, now, known)
        : GrantVerdict::WrongHome;
    if (reply.verdict == GrantVerdict::WrongHome)
        reply.homes = standing.homes;
    if (known) {
        reply.holder = m_lives.valueOf(known->holder.entry);
        if (known->isIdentified)
            reply.target = m_targets.valueOf(known->target);
    }
    if (reply.verdict == GrantVerdict::OutcomeUnknown)
        record(HomesEvent::KeyOutcomeUnknown, request.key,
               "holder=" + reply.holder.member.text() + " target=" + reply.target.text());
    out.push_back({from, std::move(reply)});
}

GrantVerdict KeyHome::decide(const GrantRequest &request, const Standing &standing, Instant now,
                             const KeyRecord *&known)
{
    KeyRecord *found = m_store.find(digestOf(request.key));
    if (!found)
        return decideNew(request, standing, now, known);
    const GrantVerdict verdict = isOther(request, *found)
        ? GrantVerdict::Conflict
        : decideKnown(request, *found, standing, now);
    // Another customer learns nothing of a key's holder.
    if (verdict != GrantVerdict::Conflict && verdict != GrantVerdict::Full)
        known = found;
    return verdict;
}

GrantVerdict KeyHome::decideNew(const GrantRequest &request, const Standing &standing, Instant now,
                                const KeyRecord *&known)
{
    if (standing.mayBeForgotten) {
        record(HomesEvent::KeyLostMemory, request.key, "");
        return GrantVerdict::LostMemory;
    }
    if (m_store.size() >= m_limits.keptKeys) {
        record(HomesEvent::KeysFull, request.key, "kept=" + std::to_string(m_store.size()));
        return GrantVerdict::Full;
    }
    KeyRecord &created = m_store.create(digestOf(request.key), now);
    known = &created;
    return grant(request, created, now);
}

bool KeyHome::isOther(const GrantRequest &request, const KeyRecord &record)
{
    return record.isIdentified
        && (record.customer != m_customers.numberOf(request.customer)
            || record.fingerprint != request.fingerprint);
}

GrantVerdict KeyHome::decideKnown(const GrantRequest &request, KeyRecord &record,
                                  const Standing &standing, Instant now)
{
    const ExchangeRef attempt = refOf(request.attempt);
    // A request that the network held back until its exchange had gone on: its entry has given this
    // attempt up and may have told its caller "not run". Granting it would let a second attempt run
    // beside a later one, so it is refused for good.
    if (attempt.attempt <= lastClosed(record, attempt))
        return record.state == RecordState::Closed ? GrantVerdict::OutcomeUnknown
                                                   : verdictOf(record);
    // Only a report is known: it says nothing of what a life before this one granted.
    if (!record.isIdentified && record.state == RecordState::Closed && standing.mayBeForgotten)
        return GrantVerdict::LostMemory;
    if (record.state == RecordState::Closed)
        return decideClosed(request, record, now);
    if (record.state != RecordState::Granted)
        return verdictOf(record);
    if (attempt == record.holder)
        return GrantVerdict::Granted;
    // Only the holder itself can prove that its attempt did not run.
    if (request.closesPrevious && attempt.isSameExchange(record.holder)
        && attempt.attempt > record.holder.attempt) {
        close(record, record.holder);
        return decideClosed(request, record, now);
    }
    return verdictOf(record);
}

GrantVerdict KeyHome::decideClosed(const GrantRequest &request, KeyRecord &record, Instant now)
{
    // Without room to remember that this exchange closed the key, a late duplicate could be
    // granted.
    const ExchangeRef attempt = refOf(request.attempt);
    const bool isRemembered = closedOf(record, attempt) || attempt.isSameExchange(record.holder);
    if (record.closed.size() >= m_limits.closedExchanges && !isRemembered) {
        this->record(HomesEvent::TooManyExchanges, request.key, "");
        return GrantVerdict::Full;
    }
    return grant(request, record, now);
}

GrantVerdict KeyHome::grant(const GrantRequest &request, KeyRecord &record, Instant now)
{
    record.holder = refOf(request.attempt);
    record.state = RecordState::Granted;
    record.customer = m_customers.numberOf(request.customer);
    record.fingerprint = request.fingerprint;
    record.target = m_targets.numberOf(request.target);
    record.isIdentified = true;
    record.touched = now;
    return GrantVerdict::Granted;
}

GrantVerdict KeyHome::verdictOf(const KeyRecord &record) const
{
    if (record.state == RecordState::Answered)
        return GrantVerdict::Finished;
    const bool isRunning = record.state == RecordState::Granted && isHolderAlive(record);
    return isRunning ? GrantVerdict::Running : GrantVerdict::OutcomeUnknown;
}

void KeyHome::handle(const MemberId &from, const OutcomeReport &report, Instant now, Outbox &out)
{
    expire(now);
    if (from != report.attempt.entry.member)
        return;
    const KeyDigest digest = digestOf(report.key);
    KeyRecord *known = m_store.find(digest);
    // Unacknowledged, the report comes again; acknowledged but not remembered, a grant request that
    // was overtaken by it would be granted to an attempt that was given up.
    if (!known && m_store.size() >= m_limits.keptKeys)
        return;
    if (!known)
        known = &m_store.create(digest, now);
    apply(report, *known, now);
    out.push_back({from, OutcomeAcknowledged {report.attempt, report.key}});
}

void KeyHome::apply(const OutcomeReport &report, KeyRecord &record, Instant now)
{
    const ExchangeRef attempt = refOf(report.attempt);
    const bool isHolder
        = attempt.isSameExchange(record.holder) && attempt.attempt >= record.holder.attempt;
    const bool isUnheard
        = !record.isIdentified && record.closed.empty() && record.state == RecordState::Closed;
    if (attempt.attempt <= lastClosed(record, attempt))
        return;
    record.touched = now;
    if (isUnheard)
        record.holder = attempt;
    if (report.end == KeyEnd::NotRun) {
        close(record, attempt);
        return;
    }
    const bool isOpen = record.state == RecordState::Granted || isUnheard
        || (record.state == RecordState::Unknown && report.end == KeyEnd::Answered);
    if (!isOpen || !(isHolder || isUnheard))
        return;
    record.holder = attempt;
    record.state = report.end == KeyEnd::Answered ? RecordState::Answered : RecordState::Unknown;
}

void KeyHome::close(KeyRecord &record, const ExchangeRef &attempt)
{
    // Nothing is granted any more, so there is nothing to refuse a late copy.
    if (record.state == RecordState::Answered || record.state == RecordState::Unknown)
        return;
    if (ExchangeRef *closed = closedOf(record, attempt))
        closed->attempt = std::max(closed->attempt, attempt.attempt);
    else if (record.closed.size() < m_limits.closedExchanges)
        record.closed.push_back(attempt); // A full list refuses every exchange that isn't in it.
    // An attempt of the holder's exchange after the granted one exists only because the granted one
    // was proved not run.
    if (!attempt.isSameExchange(record.holder) || attempt.attempt < record.holder.attempt)
        return;
    record.holder.attempt = attempt.attempt;
    record.state = RecordState::Closed;
}

void KeyHome::handle(const MemberId &from, const KeyQuery &query, Instant now, Outbox &out) const
{
    KeyQueryReply reply {query.sequence, query.key, KeyState::NotSeen, {}, {}};
    const KeyRecord *known = m_store.find(digestOf(query.key));
    const bool isCustomers
        = known && known->isIdentified && m_customers.valueOf(known->customer) == query.customer;
    const bool isOtherBody = isCustomers && query.fingerprint != Fingerprint()
        && query.fingerprint != known->fingerprint;
    if (isOtherBody) {
        // Without this a resend with another body would get the first body's answer.
        reply.state = KeyState::Conflict;
    } else if (isCustomers) {
        reply.state = stateOf(*known, isHolderAlive(*known));
        reply.holder = m_lives.valueOf(known->holder.entry);
        // A holder that reported an unknown end has cancelled or lost the stream for good.
        if (known->state == RecordState::Granted || known->state == RecordState::Answered)
            reply.target = m_targets.valueOf(known->target);
    } else if (known && !known->isIdentified && known->state != RecordState::Closed) {
        // Only the report of a run is known, from before this life. "NotSeen" would send the entry
        // back for a grant that it can't get, and from there back here, without end.
        reply.state = KeyState::Unknown;
    } else if (!known || !known->isIdentified) {
        const Standing standing = standingOf(query.key, query.customer, now);
        if (standing.mayBeForgotten || !standing.isHome)
            reply.state = KeyState::LostMemory;
    }
    out.push_back({from, std::move(reply)});
}

bool KeyHome::isHolderAlive(const KeyRecord &record) const
{
    // A wrong belief here changes what a resend is told, "running" or "unknown", both of which
    // leave the grant where it is; it never makes a second one.
    const MemberInstance &holder = m_lives.valueOf(record.holder.entry);
    if (holder == m_members.self())
        return true;
    const std::optional<MemberUpdate> found = m_members.find(holder.member);
    return found && found->state != MemberState::Dead
        && found->instance.incarnation <= holder.incarnation;
}

ExchangeRef KeyHome::refOf(const AttemptId &attempt)
{
    return {m_lives.numberOf(attempt.entry), attempt.attempt, attempt.exchange};
}

void KeyHome::record(HomesEvent event, const RequestKey &key, std::string details)
{
    m_events.record({static_cast<int>(event), key, std::move(details)});
}

} // namespace Apricothook
