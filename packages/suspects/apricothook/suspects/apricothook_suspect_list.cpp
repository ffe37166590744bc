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
    dropExpired(now);
    for (const Fingerprint fingerprint : crash.running)
        addCrash(fingerprint, crash.target, now);
    reevaluate({crash.target}, now);
    for (const Fingerprint fingerprint : crash.running) {
        // A request that crashed more targets than are remembered isn't listed for this one.
        const auto found = m_suspects.find(fingerprint);
        if (found != m_suspects.end() && !contains(found->second.crashed, crash.target))
            reevaluateOne(fingerprint, found->second, now);
    }
    for (const Fingerprint fingerprint : crash.running)
        sendNotice(fingerprint, now, out);
}

bool SuspectList::addCrash(Fingerprint fingerprint, const TargetId &target, Instant now)
{
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= m_limits.suspects)
        evictOne();
    Suspect &suspect = m_suspects[fingerprint];
    suspect.lastCrash = now;
    if (contains(suspect.crashed, target) || suspect.crashed.size() >= m_limits.targets)
        return false;
    suspect.crashed.push_back(target);
    m_suspectsByTarget[target].push_back(fingerprint);
    record(SuspectsEvent::SuspectNoted, fingerprint, " target=" + target.text());
    return true;
}

bool SuspectList::isOtherSuspectAtBoth(Fingerprint fingerprint, const TargetId &first,
                                       const TargetId &second) const
{
    const std::vector<Fingerprint> &candidates = m_suspectsByTarget.at(first);
    return std::any_of(candidates.begin(), candidates.end(), [&](Fingerprint other) {
        return other != fingerprint && contains(m_suspects.at(other).crashed, second);
    });
}

bool SuspectList::isOnlyExplanation(Fingerprint fingerprint, const Suspect &suspect) const
{
    for (std::size_t i = 0; i < suspect.crashed.size(); ++i) {
        for (std::size_t j = i + 1; j < suspect.crashed.size(); ++j) {
            if (!isOtherSuspectAtBoth(fingerprint, suspect.crashed[i], suspect.crashed[j]))
                return true;
        }
    }
    return false;
}

void SuspectList::reevaluate(const std::vector<TargetId> &targets, Instant now)
{
    for (const TargetId &target : targets) {
        const auto found = m_suspectsByTarget.find(target);
        if (found == m_suspectsByTarget.end())
            continue;
        for (const Fingerprint fingerprint : found->second)
            reevaluateOne(fingerprint, m_suspects[fingerprint], now);
    }
}

void SuspectList::reevaluateOne(Fingerprint fingerprint, Suspect &suspect, Instant now)
{
    // If a VM dies on its own, each of its many requests has seen one crash and is sent again.
    // Quarantine after one crash, or after a second one that several requests explain, would refuse
    // innocent requests.
    if (!isOnlyExplanation(fingerprint, suspect)) {
        suspect.quarantinedUntil.reset();
        return;
    }
    // Each daemon allows a trial of its own. If the notice of a failed trial didn't renew the
    // quarantine at the others, the trial of every entry daemon would cost a target.
    const bool isOwnCrash = suspect.lastCrash == now;
    if (suspect.quarantinedUntil && !isOwnCrash)
        return;
    suspect.trialUntil.reset();
    suspect.quarantinedUntil = now + m_limits.quarantine;
    record(SuspectsEvent::SuspectQuarantined, fingerprint, "");
}

SuspectVerdict SuspectList::check(Fingerprint fingerprint, Instant now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !found->second.quarantinedUntil
        || found->second.lastCrash + m_limits.memory <= now)
        return SuspectVerdict::Clear;
    Suspect &suspect = found->second;
    if (now < *suspect.quarantinedUntil || (suspect.trialUntil && now < *suspect.trialUntil))
        return SuspectVerdict::Quarantined;
    suspect.trialUntil = now + m_limits.trial;
    return SuspectVerdict::Trial;
}

Duration SuspectList::quarantineLeft(Fingerprint fingerprint, Instant now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !found->second.quarantinedUntil)
        return Duration::zero();
    const Instant end
        = std::max(*found->second.quarantinedUntil, found->second.trialUntil.value_or(now));
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
    remove(fingerprint);
    // A request that shared these crashes may now be the only one that explains them.
    reevaluate(crashed, now);
}

void SuspectList::handle(const MemberId &, const SuspectNotice &notice, Instant now, Outbox &out)
{
    dropExpired(now);
    bool isNew = false;
    for (const TargetId &target : notice.crashed)
        isNew = addCrash(notice.fingerprint, target, now) || isNew;
    // Only new information is forwarded, so that a notice dies out once all members have it.
    if (!isNew)
        return;
    reevaluate(notice.crashed, now);
    sendNotice(notice.fingerprint, now, out);
}

void SuspectList::sendNotice(Fingerprint fingerprint, Instant now, Outbox &out)
{
    const auto found = m_suspects.find(fingerprint);
    const std::vector<MemberUpdate> &live = m_members.live();
    if (found == m_suspects.end() || live.size() < 2)
        return;
    const SuspectNotice notice {fingerprint, found->second.crashed,
                                found->second.quarantinedUntil.has_value(),
                                quarantineLeft(fingerprint, now)};
    const std::size_t count = std::min(m_limits.fanOut, live.size() - 1);
    std::size_t position = m_random.next() % live.size();
    const std::size_t stride = std::max<std::size_t>(1, live.size() / (count + 1));
    std::size_t sent = 0;
    for (std::size_t step = 0; step < live.size() && sent < count; ++step, position += stride) {
        const MemberId &member = live[position % live.size()].instance.member;
        if (member == m_members.self().member)
            continue;
        out.push_back({member, notice});
        ++sent;
    }
}

void SuspectList::dropExpired(Instant now)
{
    std::vector<Fingerprint> expired;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.lastCrash + m_limits.memory <= now)
            expired.push_back(fingerprint);
    }
    for (const Fingerprint fingerprint : expired)
        remove(fingerprint);
}

void SuspectList::evictOne()
{
    const auto oldest = std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
            // Quarantined requests are kept, whatever the number of requests with a first crash.
            return std::pair(left.second.quarantinedUntil.has_value(), left.second.lastCrash)
                < std::pair(right.second.quarantinedUntil.has_value(), right.second.lastCrash);
        });
    remove(oldest->first);
}

void SuspectList::remove(Fingerprint fingerprint)
{
    for (const TargetId &target : m_suspects[fingerprint].crashed) {
        std::vector<Fingerprint> &suspectsAtTarget = m_suspectsByTarget[target];
        std::erase(suspectsAtTarget, fingerprint);
        if (suspectsAtTarget.empty())
            m_suspectsByTarget.erase(target);
    }
    m_suspects.erase(fingerprint);
}

void SuspectList::record(SuspectsEvent event, Fingerprint fingerprint, const std::string &details)
{
    m_events.record({static_cast<int>(event),
                     {},
                     "fingerprint=" + std::to_string(fingerprint.value()) + details});
}

} // namespace Apricothook
