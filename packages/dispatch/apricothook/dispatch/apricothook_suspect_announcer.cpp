#include <apricothook/dispatch/apricothook_suspect_announcer.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::chrono::seconds CleanupInterval {1};

} // namespace

SuspectAnnouncer::SuspectAnnouncer(LimitPeer self, const GrantorRanking &ranking,
                                   LimitMessenger &messenger, RandomSource &random,
                                   SuspectListener &listener)
    : m_self(std::move(self))
    , m_ranking(ranking)
    , m_messenger(messenger)
    , m_random(random)
    , m_listener(listener)
{
}

void SuspectAnnouncer::recordCrash(std::uint64_t trait, std::uint64_t instance, Instant crashed,
                                   Instant now, std::uint64_t origin)
{
    if (!m_traits.recordCrash(trait, instance, crashed, origin))
        return;
    report(trait, now, true);
    spreadChange(trait, m_traits.isSuspect(trait), now);
}

std::uint64_t SuspectAnnouncer::startTrial(std::uint64_t trait, Instant now)
{
    const std::uint64_t trial = m_random.next();
    m_traits.startTrial(trait, trial, now);
    report(trait, now, true);
    spread(trait, m_traits.isSuspect(trait), TrialRepetitions, now);
    return trial;
}

void SuspectAnnouncer::withdrawTrial(std::uint64_t trait, std::uint64_t trial, Instant now)
{
    m_traits.withdrawTrial(trait, trial, now);
    report(trait, now, true);
    spreadChange(trait, m_traits.isSuspect(trait), now);
}

void SuspectAnnouncer::recordAnswer(std::uint64_t trait, Instant began, Instant now)
{
    const bool wasSuspect = m_traits.isSuspect(trait);
    if (!m_traits.recordAnswer(trait, began, now))
        return;
    report(trait, now, true);
    spreadChange(trait, wasSuspect, now);
}

void SuspectAnnouncer::take(const CrashNotice &notice, Instant now)
{
    const bool wasSuspect = m_traits.isSuspect(notice.trait);
    const bool isChanged = m_traits.take(notice, now);
    if (isChanged)
        report(notice.trait, now, false);
    if (m_traits.contradicts(notice) || m_traits.isProvenOnlyHere(notice))
        inform(notice.sender, notice.trait, now);
    // The sender may know less than this daemon, and others no more than it did.
    if (isChanged && !notice.isAnnouncement && (wasSuspect || m_traits.isSuspect(notice.trait)))
        spreadChange(notice.trait, true, now);
}

void SuspectAnnouncer::take(const SuspectQuery &query, Instant now)
{
    if (!isInformed())
        return;
    const std::vector<std::uint64_t> suspects = m_traits.suspects();
    for (const std::uint64_t trait : suspects)
        inform(query.sender, trait, now);
    const auto remembered
        = std::chrono::duration_cast<std::chrono::milliseconds>(rememberedFor(now));
    m_messenger.send(query.sender,
                     SuspectReply {static_cast<std::uint32_t>(suspects.size()),
                                   static_cast<std::uint32_t>(remembered.count())});
}

void SuspectAnnouncer::take(const SuspectReply &reply, Instant now)
{
    if (m_traits.suspects().size() < reply.suspects)
        return;
    m_joined.reset();
    if (!m_isFirstStart)
        setRemembersSince(
            std::min(m_remembersSince, now - std::chrono::milliseconds(reply.rememberedMs)));
}

void SuspectAnnouncer::joinFleet(Instant now, bool isFirstStart)
{
    m_joined = now;
    m_isFirstStart = isFirstStart;
    setRemembersSince(now);
    m_firstQuery.reset();
}

void SuspectAnnouncer::setRemembersSince(Instant time)
{
    m_remembersSince = time;
    if (!m_isFirstStart)
        m_traits.setCautiousUntil(time + SuspectTraits::CautionTime);
}

Duration SuspectAnnouncer::rememberedFor(Instant now) const
{
    // There was nothing to remember before the first start.
    return m_isFirstStart ? SuspectTraits::CrashMemory
                          : std::min<Duration>(now - m_remembersSince, SuspectTraits::CrashMemory);
}

TrialDecision SuspectAnnouncer::decide(const RequestTraits &request, Instant now) const
{
    if (isInformed())
        return m_traits.decide(request, now);
    TrialDecision decision;
    decision.trait = request.content;
    decision.verdict = TrialVerdict::Unknown;
    decision.retryAfter = QueryInterval;
    return decision;
}

void SuspectAnnouncer::spread(std::uint64_t trait, bool toAll, unsigned repetitions, Instant now)
{
    send(trait, toAll, now);
    m_repetitions[trait] = {toAll, repetitions, now + FirstRepetition};
}

void SuspectAnnouncer::spreadChange(std::uint64_t trait, bool toAll, Instant now)
{
    // Many requests have a first crash at once if a data centre fails.
    constexpr unsigned RepetitionsToTrackers = 1;
    spread(trait, toAll, toAll ? Repetitions : RepetitionsToTrackers, now);
}

void SuspectAnnouncer::send(std::uint64_t trait, bool toAll, Instant now)
{
    if (toAll)
        sendToAll(trait, now);
    else
        sendToTrackers(trait, now);
}

void SuspectAnnouncer::sendToAll(std::uint64_t trait, Instant now)
{
    std::optional<CrashNotice> notice = m_traits.notice(trait, now);
    if (!notice)
        return;
    notice->sender = m_self.address;
    notice->isAnnouncement = true;
    m_messenger.broadcast(*notice);
}

void SuspectAnnouncer::sendToTrackers(std::uint64_t trait, Instant now)
{
    for (const LimitPeer &tracker : trackers(trait)) {
        if (tracker.member != m_self.member)
            inform(tracker.address, trait, now);
    }
}

void SuspectAnnouncer::inform(const Endpoint &daemon, std::uint64_t trait, Instant now)
{
    std::optional<CrashNotice> notice = m_traits.notice(trait, now);
    if (!notice)
        return;
    notice->sender = m_self.address;
    m_messenger.send(daemon, *notice);
}

std::vector<LimitPeer> SuspectAnnouncer::trackers(std::uint64_t trait) const
{
    std::vector<LimitPeer> ranked = m_ranking.ranked(trait);
    ranked.resize(std::min(ranked.size(), Trackers));
    return ranked;
}

void SuspectAnnouncer::askForSuspects(const std::vector<LiveDaemon> &live, bool knowsFleet,
                                      Instant now)
{
    const bool hasNoAnswer = knowsFleet && m_firstQuery && now - *m_firstQuery >= AnswerTime;
    const bool isAlone = knowsFleet && live.empty();
    if (hasNoAnswer || isAlone || now - *m_joined >= LongestUninformed) {
        m_joined.reset();
        return;
    }
    if (live.empty() || now - m_lastQuery < QueryInterval)
        return;
    m_lastQuery = now;
    m_firstQuery = m_firstQuery.value_or(now);
    const std::size_t first = m_random.next() % live.size();
    for (std::size_t asked = 0; asked < std::min(QueriedDaemons, live.size()); ++asked)
        m_messenger.send(live[(first + asked) % live.size()].peer.address,
                         SuspectQuery {m_self.address});
}

void SuspectAnnouncer::review(const std::vector<LiveDaemon> &live, bool knowsFleet, Instant now)
{
    if (!isInformed())
        askForSuspects(live, knowsFleet, now);
    repeatAnnouncements(now);
    informNewDaemons(live, now);
    if (now - m_lastCleanup < CleanupInterval)
        return;
    m_lastCleanup = now;
    m_traits.review(now);
}

void SuspectAnnouncer::repeatAnnouncements(Instant now)
{
    for (auto &[trait, repetition] : m_repetitions) {
        if (repetition.due > now)
            continue;
        send(trait, repetition.toAll, now);
        --repetition.left;
        repetition.due = now + RepetitionInterval;
    }
    std::erase_if(m_repetitions, [](const auto &entry) { return entry.second.left == 0; });
}

std::vector<LimitPeer> SuspectAnnouncer::newDaemons(const std::vector<LiveDaemon> &live)
{
    std::vector<LimitPeer> added;
    std::map<std::uint64_t, std::uint64_t> processes;
    for (const LiveDaemon &daemon : live) {
        processes[daemon.peer.member] = daemon.process;
        const auto known = m_knownProcesses.find(daemon.peer.member);
        if (known == m_knownProcesses.end() || known->second != daemon.process)
            added.push_back(daemon.peer);
    }
    m_knownProcesses = std::move(processes);
    return added;
}

void SuspectAnnouncer::informNewDaemons(const std::vector<LiveDaemon> &live, Instant now)
{
    const std::vector<LimitPeer> added = newDaemons(live);
    if (added.empty())
        return;
    for (const std::uint64_t trait : m_traits.traits()) {
        const bool isSuspect = m_traits.isSuspect(trait);
        const std::vector<LimitPeer> all = trackers(trait);
        const auto isTracker = [&all](const LimitPeer &daemon) {
            return std::ranges::find(all, daemon.member, &LimitPeer::member) != all.end();
        };
        for (const LimitPeer &daemon : added) {
            const bool mustKnow = isSuspect ? isTracker(m_self) : isTracker(daemon);
            if (daemon.member != m_self.member && mustKnow)
                inform(daemon.address, trait, now);
        }
    }
}

void SuspectAnnouncer::report(std::uint64_t trait, Instant now, bool isOwn)
{
    m_listener.onSuspectChanged(trait, m_traits.decide(trait, now), isOwn);
}

} // namespace Apricothook
