#include <apricothook/configuration/apricothook_configuration_keeper.hpp>

#include <apricothook/configuration/apricothook_watcher_choice.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumReportedTwins = 64;

TextName nameOf(const Configuration &configuration)
{
    return {configuration.generation, configuration.textHash};
}

std::string describe(const TextName &text)
{
    return "generation=" + std::to_string(text.generation.value())
        + " hash=" + std::to_string(text.textHash);
}

} // namespace

ConfigurationKeeper::ConfigurationKeeper(ConfigurationSurroundings surroundings,
                                         DataCentreId dataCentre, std::size_t seeds, Instant start,
                                         ConfigurationLimits limits)
    : m_surroundings(surroundings)
    , m_dataCentre(std::move(dataCentre))
    , m_limits(limits)
    , m_barrier(limits, seeds, start)
    , m_fetch(limits.fetchPatience)
    , m_askWait(limits.firstAsk)
    , m_nextAsk(start)
{
}

void ConfigurationKeeper::tick(Instant now, ConfigurationOutput &out)
{
    m_claims.prune(m_surroundings.members);
    noticeLateWake(now, out);
    if (m_fetch.hasTimedOut(now)) {
        record(ConfigurationEvent::FetchTimedOut, describe(*m_fetch.running()));
        m_fetch.giveUp();
    }
    if (!isReady() && now >= m_nextAsk)
        askAgain(now, out);
    settle(now, out);
    fetchNewest(MemberId(), now, out);
    chooseWatching(out);
}

void ConfigurationKeeper::arrived(const ConfigurationReceived &candidate, Instant now,
                                  ConfigurationOutput &out)
{
    const TextName text = nameOf(*candidate.configuration);
    m_fetch.endUpTo(text);
    if (isNewest(text)) {
        m_candidate = candidate.configuration;
        m_candidateText = candidate.text;
    }
    settle(now, out);
    fetchNewest(MemberId(), now, out);
}

void ConfigurationKeeper::rejected(const ConfigurationRejected &candidate, Instant now,
                                   ConfigurationOutput &out)
{
    // Without this memory the same bad text would be fetched and parsed at every probe.
    const TextName text {candidate.generation, candidate.textHash};
    if (!m_claims.isRejected(text)) {
        record(ConfigurationEvent::Rejected,
               describe(text) + " errors=" + std::to_string(candidate.errors)
                   + " first=" + candidate.firstError);
    }
    m_claims.reject(text);
    m_fetch.end(text);
    settle(now, out);
    fetchNewest(MemberId(), now, out);
}

bool ConfigurationKeeper::isNewest(const TextName &text)
{
    if (!m_candidate || text.generation > m_candidate->generation)
        return true;
    const TextName known = nameOf(*m_candidate);
    if (text.generation < known.generation) {
        // A stale platform or a late fetch: taking it would bring an old configuration back.
        record(ConfigurationEvent::LowerIgnored, describe(text));
    } else if (text != known) {
        if (m_reportedTwins.size() < MaximumReportedTwins && m_reportedTwins.insert(text).second)
            record(ConfigurationEvent::TwoTextsOneGeneration, describe(text));
    }
    return false;
}

void ConfigurationKeeper::settle(Instant now, ConfigurationOutput &out)
{
    if (!m_candidate || (m_inForce && m_candidate->generation <= m_inForce->generation))
        return;
    if (isReady()) {
        adopt(out);
        return;
    }
    if (!mayServe(now))
        return;
    if (!m_barrier.hasEnoughPeers(others()))
        record(ConfigurationEvent::JoinWithoutPeers, describe(nameOf(*m_candidate)));
    if (!m_barrier.hasPlatform())
        record(ConfigurationEvent::JoinWithoutPlatform, describe(nameOf(*m_candidate)));
    adopt(out);
}

bool ConfigurationKeeper::mayServe(Instant now) const
{
    // A higher generation that some member serves must come first, however long it takes to fetch:
    // else callers would see the fleet's present setup at one entry and an old one at this.
    return m_barrier.isOpen(others(), now) && !m_claims.best(m_candidate->generation);
}

void ConfigurationKeeper::adopt(ConfigurationOutput &out)
{
    const bool isFleetNew = !m_inForce && !m_barrier.hasConfiguredPeer();
    m_inForce = m_candidate;
    record(ConfigurationEvent::InForce, describe(nameOf(*m_inForce)));
    out.actions.emplace_back(ApplyConfiguration {m_inForce, m_candidateText, isFleetNew});
    if (m_isWatching)
        out.actions.emplace_back(SetWatching {true, m_inForce->generation});
    tellOthers(DigestReply {0, digest()}, out);
}

void ConfigurationKeeper::tellOthers(const PeerMessage &news, ConfigurationOutput &out)
{
    const auto tell = [&](Nearness nearness, std::size_t count) {
        for (const MemberId &member : sampleMembers(m_surroundings.members, m_dataCentre, nearness,
                                                    count, m_surroundings.random))
            out.outbox.push_back({member, news});
    };
    tell(Nearness::OwnDataCentre, m_limits.nearNotices);
    tell(Nearness::OtherDataCentre, m_limits.farNotices);
}

void ConfigurationKeeper::digestSeen(const MemberUpdate &from, const StateDigest &digest,
                                     Instant now, ConfigurationOutput &out)
{
    const MemberId &member = from.instance.member;
    if (member == m_surroundings.members.self().member)
        return;
    if (const auto request = m_vms.requestFor(digest.vmRevision))
        out.outbox.push_back({member, *request});
    const TextName text {digest.generation, digest.textHash};
    if (!m_claims.note(member, text))
        return;
    if (text.generation > floorOfInterest())
        fetchNewest(member, now, out);
    else if (m_candidate && text.generation == m_candidate->generation)
        isNewest(text);
}

void ConfigurationKeeper::digestRequested(const MemberId &from, const DigestRequest &request,
                                          ConfigurationOutput &out) const
{
    out.outbox.push_back({from, DigestReply {request.sequence, digest()}});
}

void ConfigurationKeeper::digestReplied(const MemberUpdate &from, const DigestReply &reply,
                                        Instant now, ConfigurationOutput &out)
{
    digestSeen(from, reply.digest, now, out);
    if (isReady())
        return;
    m_barrier.peerAnswered(from.instance.member, reply.digest.generation.value() != 0);
    settle(now, out);
}

void ConfigurationKeeper::vmsArrived(const VmList &list, ConfigurationOutput &out)
{
    if (!m_vms.offer(list))
        return;
    record(ConfigurationEvent::VmListInForce,
           "revision=" + std::to_string(list.revision)
               + " leaving=" + std::to_string(list.leaving.size()));
    out.actions.emplace_back(ApplyVmList {list});
    tellOthers(list, out);
}

void ConfigurationKeeper::vmListRequested(const MemberId &from, const VmListRequest &request,
                                          ConfigurationOutput &out) const
{
    if (const auto list = m_vms.replyTo(request))
        out.outbox.push_back({from, *list});
}

void ConfigurationKeeper::platformReachability(const PlatformReachability &news, Instant now,
                                               ConfigurationOutput &out)
{
    if (m_isPlatformReachable && *m_isPlatformReachable != news.isReachable) {
        record(news.isReachable ? ConfigurationEvent::PlatformBack
                                : ConfigurationEvent::PlatformLost,
               "watching=" + std::to_string(m_isWatching));
    }
    m_isPlatformReachable = news.isReachable;
    m_barrier.platformAnswered(news.isReachable);
    settle(now, out);
}

StateDigest ConfigurationKeeper::digest() const
{
    StateDigest digest;
    if (m_inForce) {
        digest.generation = m_inForce->generation;
        digest.textHash = m_inForce->textHash;
    }
    digest.vmRevision = m_vms.list().revision;
    return digest;
}

void ConfigurationKeeper::fetchNewest(const MemberId &teller, Instant now, ConfigurationOutput &out)
{
    if (m_fetch.isRunning())
        return;
    const std::optional<TextName> text = m_claims.best(floorOfInterest());
    if (!text)
        return;
    const auto holder
        = m_fetch.begin(*text, m_claims.holders(*text), teller, now, m_surroundings.random);
    if (!holder)
        return;
    const std::optional<MemberUpdate> member = m_surroundings.members.find(*holder);
    if (member)
        out.actions.emplace_back(FetchText {member->peerAddress, text->generation, text->textHash});
    else
        m_fetch.giveUp();
}

void ConfigurationKeeper::askAgain(Instant now, ConfigurationOutput &out)
{
    out.actions.emplace_back(ReadPlatform {m_candidate ? m_candidate->generation : Generation()});
    askMembers(out);
    // Jitter: a fleet that starts at once must not ask the platform in step.
    const auto jitter = static_cast<Duration::rep>(m_surroundings.random.next()
                                                   % static_cast<std::uint64_t>(m_askWait.count()));
    m_nextAsk = now + m_askWait / 2 + Duration(jitter);
    m_askWait = std::min(m_askWait * 2, m_limits.lastAsk);
}

void ConfigurationKeeper::askMembers(ConfigurationOutput &out)
{
    for (const MemberId &member :
         sampleMembers(m_surroundings.members, m_dataCentre, Nearness::Anywhere, m_limits.joinPeers,
                       m_surroundings.random))
        out.outbox.push_back({member, DigestRequest {m_surroundings.random.next() | 1}});
}

void ConfigurationKeeper::chooseWatching(ConfigurationOutput &out)
{
    const MemberView &members = m_surroundings.members;
    if (!isReady() || members.version() == m_watchVersion)
        return;
    m_watchVersion = members.version();
    const auto watchers = watchersOf(members, m_dataCentre, m_limits.watchersPerDataCentre);
    const bool isWatching
        = std::find(watchers.begin(), watchers.end(), members.self().member) != watchers.end();
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    record(ConfigurationEvent::WatchingChanged, "watching=" + std::to_string(isWatching));
    out.actions.emplace_back(SetWatching {isWatching, m_inForce->generation});
}

void ConfigurationKeeper::noticeLateWake(Instant now, ConfigurationOutput &out)
{
    // A process that stood still believes what it knew before: it would serve an old generation
    // until the next probe tells it. Asking at once makes that a round trip.
    if (m_lastTick && now - *m_lastTick > m_limits.lateWake) {
        record(ConfigurationEvent::LateWake,
               "milliseconds=" + std::to_string((now - *m_lastTick).count() / 1000));
        askMembers(out);
    }
    m_lastTick = now;
}

std::size_t ConfigurationKeeper::others() const
{
    const std::size_t live = m_surroundings.members.live().size();
    return live > 0 ? live - 1 : 0;
}

Generation ConfigurationKeeper::floorOfInterest() const
{
    return m_candidate ? m_candidate->generation : Generation();
}

void ConfigurationKeeper::record(ConfigurationEvent event, const std::string &details)
{
    m_surroundings.events.record({static_cast<int>(event), RequestKey(), details});
}

} // namespace Apricothook
