#include <apricothook/serving/apricothook_suspect_exchange.hpp>

#include <algorithm>

namespace Apricothook {

LiveMembers::LiveMembers(const FleetDirectory &directory, const MemberInfo &self)
    : m_directory(directory), m_self {self.member, self.process}
{
}

void LiveMembers::review(Instant now)
{
    m_live.clear();
    MemberUpdate own;
    own.instance = m_self;
    m_live.push_back(own);
    for (const auto &[id, member] : m_directory.members()) {
        if (!m_directory.isLive(member, now))
            continue;
        MemberUpdate update;
        update.instance = {id, member.info.process};
        update.peerAddress = member.info.peerAddress;
        m_live.push_back(update);
    }
    std::ranges::sort(m_live, {},
                      [](const MemberUpdate &update) { return update.instance.member; });
    ++m_version;
}

std::optional<MemberUpdate> LiveMembers::find(const MemberId &member) const
{
    const auto found = std::ranges::find(
        m_live, member, [](const MemberUpdate &update) { return update.instance.member; });
    return found == m_live.end() ? std::nullopt : std::optional(*found);
}

SuspectExchange::SuspectExchange(EventLoop &loop, const FleetDirectory &directory,
                                 PeerSender &sender, RandomSource &random, LogWriter &log)
    : m_loop(loop)
    , m_sender(sender)
    , m_random(random)
    , m_log(log)
    , m_members(directory, sender.ownInfo())
    , m_list(m_members, random, *this)
{
}

std::optional<Duration> SuspectExchange::quarantine(Fingerprint request)
{
    const Instant now = m_loop.now();
    if (m_list.check(request, now) != SuspectVerdict::Quarantined)
        return std::nullopt;
    return m_list.quarantineLeft(request, now);
}

void SuspectExchange::recordAnswer(Fingerprint request)
{
    const Instant now = m_loop.now();
    m_answered.add(request, now);
    if (!m_list.isSuspect(request))
        return;
    m_list.recordAnswer(request, now);
    sendCleared(request);
}

void SuspectExchange::recordCrash(const TargetId &target, const std::vector<Fingerprint> &requests)
{
    TargetCrash crash {target, {}};
    std::ranges::copy_if(requests, std::back_inserter(crash.running),
                         [this](Fingerprint request) { return !m_answered.contains(request); });
    m_members.review(m_loop.now());
    Outbox out;
    m_list.recordCrash(crash, m_loop.now(), out);
    send(out);
}

void SuspectExchange::take(const SuspectNotice &notice)
{
    if (notice.crashed.empty()) {
        recordAnswer(notice.fingerprint);
        return;
    }
    if (m_answered.contains(notice.fingerprint)) {
        sendCleared(notice.fingerprint);
        return;
    }
    m_members.review(m_loop.now());
    Outbox out;
    m_list.handle({}, notice, m_loop.now(), out);
    send(out);
}

void SuspectExchange::send(const Outbox &out)
{
    for (const OutgoingMessage &outgoing : out) {
        const std::optional<MemberUpdate> member = m_members.find(outgoing.to);
        const auto *notice = std::get_if<SuspectNotice>(&outgoing.message);
        if (member && notice)
            m_sender.send(member->peerAddress, PeerDatagram(*notice));
    }
}

void SuspectExchange::sendCleared(Fingerprint request)
{
    m_members.review(m_loop.now());
    std::vector<Endpoint> receivers;
    for (const MemberUpdate &member : m_members.live()) {
        if (member.instance.member != m_members.self().member)
            receivers.push_back(member.peerAddress);
    }
    for (std::size_t sent = 0; sent < SuspectLimits().fanOut && !receivers.empty(); ++sent) {
        const auto chosen
            = receivers.begin() + static_cast<std::ptrdiff_t>(m_random.next() % receivers.size());
        m_sender.send(*chosen, PeerDatagram(SuspectNotice {request, {}, false, {}}));
        receivers.erase(chosen);
    }
}

void SuspectExchange::record(const DecisionEvent &event)
{
    m_log.write(LogEvent(static_cast<SuspectsEvent>(event.number)).with("details", event.details));
}

} // namespace Apricothook
