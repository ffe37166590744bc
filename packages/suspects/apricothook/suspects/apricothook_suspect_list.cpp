#include <apricothook/suspects/apricothook_suspect_list.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

template <typename T>
bool contains(const std::vector<T> &values, const T &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

SuspectList::SuspectList(const MemberView &members, RandomSource &random, EventSink &events,
                         SuspectLimits limits)
    : m_members(members), m_random(random), m_events(events), m_limits(limits)
{
}

void SuspectList::recordCrash(const TargetCrash &crash, Instant now, Outbox &out)
{
    forgetOld(now);
    for (const Fingerprint fingerprint : crash.running)
        learn(fingerprint, crash.target, now);
    judge({crash.target}, now);
    for (const Fingerprint fingerprint : crash.running) {
        // One that has crashed more targets than are remembered isn't listed at this one.
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end() && !contains(found->second.crashed, crash.target))
            judgeOne(fingerprint, found->second, now);
    }
    for (const Fingerprint fingerprint : crash.running)
        spread(fingerprint, now, out);
}

bool SuspectList::learn(Fingerprint fingerprint, const TargetId &target, Instant now)
{
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= m_limits.suspects)
        makeRoom();
    Suspect &suspect = m_suspects[fingerprint];
    suspect.lastCrash = now;
    if (contains(suspect.crashed, target) || suspect.crashed.size() >= m_limits.targets)
        return false;
    suspect.crashed.push_back(target);
    m_byTarget[target].push_back(fingerprint);
    record(SuspectsEvent::SuspectNoted, fingerprint, " target=" + target.text());
    return true;
}

bool SuspectList::sharesBoth(Fingerprint fingerprint, const TargetId &first,
                             const TargetId &second) const
{
    const std::vector<Fingerprint> &candidates = m_byTarget.at(first);
    return std::any_of(candidates.begin(), candidates.end(), [&](Fingerprint other) {
        return other != fingerprint && contains(m_suspects.at(other).crashed, second);
    });
}

bool SuspectList::explainsAlone(Fingerprint fingerprint, const Suspect &suspect) const
{
    for (std::size_t i = 0; i < suspect.crashed.size(); ++i) {
        for (std::size_t j = i + 1; j < suspect.crashed.size(); ++j) {
            if (!sharesBoth(fingerprint, suspect.crashed[i], suspect.crashed[j]))
                return true;
        }
    }
    return false;
}

void SuspectList::judge(const std::vector<TargetId> &targets, Instant now)
{
    for (const TargetId &target : targets) {
        const auto found = m_byTarget.find(target);
        if (found == m_byTarget.end())
            continue;
        for (const Fingerprint fingerprint : found->second)
            judgeOne(fingerprint, m_suspects[fingerprint], now);
    }
}

void SuspectList::judgeOne(Fingerprint fingerprint, Suspect &suspect, Instant now)
{
    // A target's VM that dies alone loses many requests, each at one crash; they are sent again. If
    // one crash were enough, or a second that several explain, innocent work would be refused.
    if (!explainsAlone(fingerprint, suspect)) {
        suspect.until.reset();
        return;
    }
    // Each daemon gives out a trial of its own. If news of a failed one didn't renew the quarantine
    // elsewhere, every entry's trial would cost a target.
    const bool isItsCrash = suspect.lastCrash == now;
    if (suspect.until && !isItsCrash)
        return;
    suspect.trialUntil.reset();
    suspect.until = now + m_limits.quarantine;
    record(SuspectsEvent::SuspectQuarantined, fingerprint, "");
}

SuspectVerdict SuspectList::check(Fingerprint fingerprint, Instant now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !found->second.until
        || found->second.lastCrash + m_limits.memory <= now)
        return SuspectVerdict::Clear;
    Suspect &suspect = found->second;
    if (now < *suspect.until || (suspect.trialUntil && now < *suspect.trialUntil))
        return SuspectVerdict::Quarantined;
    suspect.trialUntil = now + m_limits.trial;
    return SuspectVerdict::Trial;
}

Duration SuspectList::quarantineLeft(Fingerprint fingerprint, Instant now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !found->second.until)
        return Duration::zero();
    const Instant end = std::max(*found->second.until, found->second.trialUntil.value_or(now));
    return std::max(Duration::zero(), end - now);
}

std::vector<TargetId> SuspectList::excludedTargets(Fingerprint fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? std::vector<TargetId>() : found->second.crashed;
}

void SuspectList::recordAnswer(Fingerprint fingerprint, Instant now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return;
    record(SuspectsEvent::SuspectCleared, fingerprint, "");
    const std::vector<TargetId> crashed = found->second.crashed;
    forget(fingerprint);
    // Who shared these crashes with it may now be the only one that explains them.
    judge(crashed, now);
}

void SuspectList::handle(const MemberId &, const SuspectNotice &notice, Instant now, Outbox &out)
{
    forgetOld(now);
    bool isNews = false;
    for (const TargetId &target : notice.crashed)
        isNews = learn(notice.fingerprint, target, now) || isNews;
    // Only news is passed on, so that a notice dies out once all have heard it.
    if (!isNews)
        return;
    judge(notice.crashed, now);
    spread(notice.fingerprint, now, out);
}

void SuspectList::spread(Fingerprint fingerprint, Instant now, Outbox &out)
{
    const auto found = m_suspects.find(fingerprint);
    const std::vector<MemberUpdate> &live = m_members.live();
    if (found == m_suspects.end() || live.size() < 2)
        return;
    const SuspectNotice notice {fingerprint, found->second.crashed, found->second.until.has_value(),
                                quarantineLeft(fingerprint, now)};
    const std::size_t count = std::min(m_limits.fanOut, live.size() - 1);
    std::size_t place = m_random.next() % live.size();
    const std::size_t stride = std::max<std::size_t>(1, live.size() / (count + 1));
    std::size_t sent = 0;
    for (std::size_t step = 0; step < live.size() && sent < count; ++step, place += stride) {
        const MemberId &member = live[place % live.size()].instance.member;
        if (member == m_members.self().member)
            continue;
        out.push_back({member, notice});
        ++sent;
    }
}

void SuspectList::forgetOld(Instant now)
{
    std::vector<Fingerprint> old;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.lastCrash + m_limits.memory <= now)
            old.push_back(fingerprint);
    }
    for (const Fingerprint fingerprint : old)
        forget(fingerprint);
}

void SuspectList::makeRoom()
{
    const auto oldest = std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
            // A quarantine outlasts any number of first crashes.
            return std::pair(left.second.until.has_value(), left.second.lastCrash)
                < std::pair(right.second.until.has_value(), right.second.lastCrash);
        });
    forget(oldest->first);
}

void SuspectList::forget(Fingerprint fingerprint)
{
    for (const TargetId &target : m_suspects[fingerprint].crashed) {
        std::vector<Fingerprint> &there = m_byTarget[target];
        std::erase(there, fingerprint);
        if (there.empty())
            m_byTarget.erase(target);
    }
    m_suspects.erase(fingerprint);
}

void SuspectList::record(SuspectsEvent event, Fingerprint fingerprint, const std::string &more)
{
    m_events.record(
        {static_cast<int>(event), {}, "fingerprint=" + std::to_string(fingerprint.value()) + more});
}

} // namespace Apricothook
