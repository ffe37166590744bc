#include <apricothook/dispatch/apricothook_suspect_traits.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace Apricothook {

namespace {

/** Units that a grantor adds in each window; with the one in the bucket these are all trials. */
constexpr double TrialsPerWindow = SuspectTraits::MaximumTrials - 1;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** A time between the shortest pause and twice as long; the same at all daemons. */
Duration spread(std::uint64_t trait, Duration shortest)
{
    constexpr std::int64_t Steps = 1000;
    return shortest + shortest * static_cast<std::int64_t>(trait % Steps) / Steps;
}

/** Pause after the given number of trials, at least one. */
Duration trialPause(std::uint64_t trait, std::size_t trials, bool isCulprit)
{
    if (isCulprit)
        return spread(trait, SuspectTraits::ShortestCulpritPause);
    return spread(
        trait, trials > 1 ? SuspectTraits::ShortestLaterPause : SuspectTraits::ShortestFirstPause);
}

std::size_t mostTrials(std::uint64_t trait, bool isCulprit)
{
    const bool isKnownCulprit = traitKind(trait) == TraitKind::Content && isCulprit;
    return isKnownCulprit ? SuspectTraits::MaximumTrialsOfCulprit : SuspectTraits::MaximumTrials;
}

std::uint32_t ageInMs(Instant at, Instant now)
{
    constexpr std::int64_t LargestAge = std::numeric_limits<std::uint32_t>::max();
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, LargestAge));
}

} // namespace

UnitBudget trialBudget()
{
    UnitBudget budget;
    budget.perSecond = TrialsPerWindow / secondsOf(SuspectTraits::TrialWindow);
    // Daemons that ask at the same time don't know of each other's trials yet.
    budget.bucket = 1;
    budget.needsWholeFleet = true;
    return budget;
}

std::string_view nameOf(TrialVerdict verdict)
{
    switch (verdict) {
    case TrialVerdict::Clear:
        return "clear";
    case TrialVerdict::MayBeTried:
        return "may-be-tried";
    case TrialVerdict::TrialRunning:
        return "trial-running";
    case TrialVerdict::Quarantined:
        return "quarantined";
    case TrialVerdict::InFlight:
        return "in-flight";
    case TrialVerdict::Unknown:
        break;
    }
    return "unknown";
}

bool SuspectTraits::isActive(const Entry &entry, bool isTrial)
{
    return entry.isTrial == isTrial && !entry.isCleared;
}

SuspectTraits::Entry *SuspectTraits::findEntry(Entries &entries, std::uint64_t id)
{
    const auto found = std::ranges::find(entries, id, &Entry::id);
    return found == entries.end() ? nullptr : &*found;
}

SuspectTraits::Entries &SuspectTraits::entriesOf(std::uint64_t trait)
{
    if (!m_traits.contains(trait) && m_traits.size() >= MaximumTraits)
        evictOne();
    return m_traits[trait];
}

void SuspectTraits::add(std::uint64_t trait, Entries &entries, const Entry &entry)
{
    if (entry.isTrial)
        m_tried.insert(trait);
    if (entries.size() >= MaximumEntries) {
        // Trials are kept, as they bound further ones.
        const auto oldest = std::ranges::min_element(entries, {}, [](const Entry &each) {
            return std::tuple(!each.isCleared, each.isTrial, each.at);
        });
        entries.erase(oldest);
    }
    entries.push_back(entry);
}

void SuspectTraits::evictOne()
{
    const auto rank = [](const auto &trait) {
        const Entries &entries = trait.second;
        const auto crashes = std::ranges::count_if(
            entries, [](const Entry &entry) { return isActive(entry, false); });
        const auto latest = std::ranges::max_element(entries, {}, &Entry::at);
        return std::pair(crashes, latest == entries.end() ? Instant() : latest->at);
    };
    m_traits.erase(std::ranges::min_element(m_traits, {}, rank));
}

bool SuspectTraits::recordCrash(std::uint64_t trait, std::uint64_t instance, Instant crashed,
                                std::uint64_t origin)
{
    if (m_sound.isSoundSince(trait, crashed))
        return false;
    Entries &entries = entriesOf(trait);
    if (Entry *known = findEntry(entries, instance)) {
        const bool isAnother = known->origin != SeveralCustomers && known->origin != origin;
        known->origin = isAnother ? SeveralCustomers : known->origin;
        return isAnother;
    }
    add(trait, entries, {instance, false, false, crashed, {}, origin});
    return true;
}

void SuspectTraits::startTrial(std::uint64_t trait, std::uint64_t trial, Instant now)
{
    add(trait, entriesOf(trait), {trial, true, false, now, {}, SeveralCustomers});
}

void SuspectTraits::withdrawTrial(std::uint64_t trait, std::uint64_t trial, Instant now)
{
    const auto known = m_traits.find(trait);
    Entry *entry = known == m_traits.end() ? nullptr : findEntry(known->second, trial);
    if (!entry)
        return;
    entry->isCleared = true;
    entry->cleared = now;
}

bool SuspectTraits::recordAnswer(std::uint64_t trait, Instant began, Instant now)
{
    if (traitKind(trait) == TraitKind::PromptPart)
        m_sound.record(trait, began);
    else if (isCautious(now))
        m_soundContents.record(trait, began);
    const auto known = m_traits.find(trait);
    if (known == m_traits.end())
        return false;
    bool isChanged = false;
    for (Entry &entry : known->second) {
        // An answer from before the crash doesn't show that the trait is harmless now.
        if (entry.isCleared || entry.at > began)
            continue;
        entry.isCleared = true;
        entry.cleared = now;
        isChanged = true;
    }
    return isChanged;
}

bool SuspectTraits::takeSound(const CrashNotice &notice, Instant now)
{
    if (notice.soundAgeMs == CrashNotice::Never)
        return false;
    const Instant told = now - std::chrono::milliseconds(notice.soundAgeMs);
    SoundTraits &sound
        = traitKind(notice.trait) == TraitKind::PromptPart ? m_sound : m_soundContents;
    const std::optional<Instant> known = sound.lastBegan(notice.trait);
    if (!known || *known < told)
        sound.record(notice.trait, told);
    return !known;
}

const SoundTraits &SuspectTraits::soundOf(std::uint64_t trait) const
{
    return traitKind(trait) == TraitKind::PromptPart ? m_sound : m_soundContents;
}

bool SuspectTraits::isProvenOnlyHere(const CrashNotice &notice) const
{
    return notice.soundAgeMs == CrashNotice::Never && soundOf(notice.trait).lastBegan(notice.trait);
}

bool SuspectTraits::take(const CrashNotice &notice, Instant now)
{
    bool isChanged = takeSound(notice, now);
    Entries &entries = entriesOf(notice.trait);
    for (const CrashNoticeEntry &told : notice.entries) {
        const Instant at = now - std::chrono::milliseconds(told.ageMs);
        if (Entry *known = findEntry(entries, told.id)) {
            const bool isAnother
                = known->origin != told.origin && known->origin != SeveralCustomers;
            isChanged = isChanged || isAnother || (told.isCleared && !known->isCleared);
            known->origin = isAnother ? SeveralCustomers : known->origin;
            known->cleared = told.isCleared && !known->isCleared ? now : known->cleared;
            known->isCleared = known->isCleared || told.isCleared;
            // A message that was late makes its content look younger than it is.
            known->at = std::min(known->at, at);
            continue;
        }
        const bool isCleared = told.isCleared || m_sound.isSoundSince(notice.trait, at);
        const Entry entry {told.id, told.isTrial, isCleared, at, isCleared ? now : at, told.origin};
        if (isExpired(entry, now))
            continue;
        add(notice.trait, entries, entry);
        isChanged = true;
    }
    return isChanged;
}

bool SuspectTraits::contradicts(const CrashNotice &notice) const
{
    const auto known = m_traits.find(notice.trait);
    if (known == m_traits.end())
        return false;
    return std::ranges::any_of(notice.entries, [&](const CrashNoticeEntry &told) {
        const auto entry = std::ranges::find(known->second, told.id, &Entry::id);
        return entry != known->second.end() && entry->isCleared && !told.isCleared;
    });
}

std::size_t SuspectTraits::crashes(std::uint64_t trait) const
{
    const auto known = m_traits.find(trait);
    if (known == m_traits.end())
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(
        known->second, [](const Entry &entry) { return isActive(entry, false); }));
}

std::size_t SuspectTraits::knownCrashes(std::uint64_t trait) const
{
    const auto known = m_traits.find(trait);
    if (known == m_traits.end())
        return 0;
    return static_cast<std::size_t>(std::ranges::count(known->second, false, &Entry::isTrial));
}

std::size_t SuspectTraits::crashesOfSuspect(std::uint64_t trait) const
{
    return m_sound.lastBegan(trait) ? CrashesOfProvenPart : CrashesOfSuspect;
}

std::size_t SuspectTraits::failedTrials(std::uint64_t trait, Instant now) const
{
    const Entries &entries = m_traits.at(trait);
    Instant lastCrash = Instant::min();
    for (const Entry &entry : entries) {
        if (isActive(entry, false))
            lastCrash = std::max(lastCrash, entry.at);
    }
    return static_cast<std::size_t>(std::ranges::count_if(entries, [&](const Entry &entry) {
        return isActive(entry, true) && now - entry.at < TrialWindow && entry.at <= lastCrash;
    }));
}

bool SuspectTraits::isPresumption(const Entry &entry) const
{
    return isActive(entry, false) && entry.at < m_cautiousUntil;
}

bool SuspectTraits::isPresumedCulprit(std::uint64_t trait) const
{
    const auto known = m_traits.find(trait);
    if (traitKind(trait) != TraitKind::Content || known == m_traits.end()
        || m_soundContents.lastBegan(trait))
        return false;
    return std::ranges::any_of(known->second,
                               [this](const Entry &entry) { return isPresumption(entry); });
}

bool SuspectTraits::isCulprit(std::uint64_t trait, Instant now) const
{
    if (traitKind(trait) == TraitKind::Content)
        return crashes(trait) >= CrashesOfCulprit || isPresumedCulprit(trait);
    // A part's first trial may have failed for another part of its request.
    return failedTrials(trait, now) >= TrialsOfCulprit;
}

bool SuspectTraits::concernsOthersOnly(std::uint64_t trait, std::uint64_t customer) const
{
    const auto known = m_traits.find(trait);
    if (traitKind(trait) != TraitKind::PromptPart || known == m_traits.end())
        return false;
    std::optional<std::uint64_t> origin;
    for (const Entry &entry : known->second) {
        if (!isActive(entry, false))
            continue;
        if (entry.origin == SeveralCustomers || entry.origin == customer
            || origin.value_or(entry.origin) != entry.origin)
            return false;
        origin = entry.origin;
    }
    return origin.has_value();
}

std::optional<Instant> SuspectTraits::runningTrial(const Entries &entries, Instant now)
{
    std::optional<Instant> started;
    for (const Entry &entry : entries) {
        if (isActive(entry, true) && now - entry.at < TrialTime)
            started = std::max(started.value_or(entry.at), entry.at);
    }
    const bool hasCrashed = started && std::ranges::any_of(entries, [&](const Entry &entry) {
                                return isActive(entry, false) && entry.at > *started;
                            });
    return hasCrashed ? std::nullopt : started;
}

bool SuspectTraits::sharesCrash(const Entries &one, const Entries &other)
{
    return std::ranges::any_of(one, [&other](const Entry &entry) {
        return isActive(entry, false) && std::ranges::any_of(other, [&entry](const Entry &each) {
                   return each.id == entry.id && isActive(each, false);
               });
    });
}

std::optional<Instant> SuspectTraits::runningTrialOfRival(std::uint64_t trait,
                                                          const Entries &entries, Instant now) const
{
    // Many proven parts are suspect at once if a data centre fails, and all requests wait for them.
    if (m_sound.lastBegan(trait))
        return std::nullopt;
    for (const std::uint64_t other : m_tried) {
        const auto rival = m_traits.find(other);
        if (other == trait || rival == m_traits.end())
            continue;
        const std::optional<Instant> started = runningTrial(rival->second, now);
        if (started && sharesCrash(entries, rival->second))
            return started;
    }
    return std::nullopt;
}

bool SuspectTraits::isMoreSuspect(const TrialDecision &one, const TrialDecision &other) const
{
    const auto evidence = [this](const TrialDecision &decision) {
        return m_sound.lastBegan(decision.trait).value_or(Instant::min());
    };
    // Without any difference the blame goes around.
    return std::tuple(evidence(one), one.trials, other.crashes)
        < std::tuple(evidence(other), other.trials, one.crashes);
}

Duration SuspectTraits::pauseOfParts(const std::vector<TrialDecision> &suspects, Instant now) const
{
    std::size_t failed = 0;
    Duration pause {};
    for (const TrialDecision &suspect : suspects) {
        if (traitKind(suspect.trait) == TraitKind::Content)
            continue;
        failed += failedTrials(suspect.trait, now);
        for (const Entry &entry : m_traits.at(suspect.trait)) {
            const Instant until = entry.at + trialPause(suspect.trait, 1, true);
            if (isActive(entry, true) && until > now)
                pause = std::max(pause, until - now);
        }
    }
    return failed >= TrialsOfCulprit ? pause : Duration::zero();
}

TrialDecision SuspectTraits::decide(const RequestTraits &request, Instant now) const
{
    TrialDecision decided;
    decided.trait = request.content;
    decided.crashes = crashes(request.content);
    std::vector<TrialDecision> suspects;
    const auto rank = [](TrialVerdict verdict) {
        return verdict == TrialVerdict::Quarantined ? 3
            : verdict == TrialVerdict::TrialRunning ? 2
            : verdict == TrialVerdict::MayBeTried   ? 1
                                                    : 0;
    };
    for (const std::uint64_t trait : request.all()) {
        if (concernsOthersOnly(trait, request.customer))
            continue;
        const TrialDecision each = decide(trait, now);
        if (each.verdict != TrialVerdict::Clear)
            suspects.push_back(each);
        const bool isSame = each.verdict == decided.verdict;
        const bool blocksLonger = isSame && each.retryAfter > decided.retryAfter;
        // Of parts with the same evidence the later one is shared by fewer requests.
        const bool isTried
            = isSame && each.verdict == TrialVerdict::MayBeTried && !isMoreSuspect(decided, each);
        if (rank(each.verdict) > rank(decided.verdict) || blocksLonger || isTried)
            decided = each;
    }
    // Parts whose trials failed for each other are still tried apart.
    if (const Duration pause = pauseOfParts(suspects, now);
        decided.verdict == TrialVerdict::MayBeTried && pause > Duration::zero()) {
        decided.verdict = TrialVerdict::Quarantined;
        decided.retryAfter = pause;
    }
    return decided;
}

TrialDecision SuspectTraits::decide(std::uint64_t trait, Instant now) const
{
    TrialDecision decision;
    decision.trait = trait;
    decision.crashes = crashes(trait);
    decision.isUnprovenPart
        = traitKind(trait) == TraitKind::PromptPart && !m_sound.lastBegan(trait);
    const bool isPresumed = isPresumedCulprit(trait);
    if (!isPresumed && decision.crashes < crashesOfSuspect(trait))
        return decision;
    const Entries &entries = m_traits.at(trait);
    // Trials, and the crashes that are taken for failed ones.
    std::vector<Instant> trials;
    Instant latest {};
    for (const Entry &entry : entries) {
        if (entry.isCleared)
            continue;
        latest = std::max(latest, entry.at);
        const bool isRecent = now - entry.at < TrialWindow;
        decision.trials += entry.isTrial && isRecent ? 1 : 0;
        if (isRecent && (entry.isTrial || (isPresumed && isPresumption(entry))))
            trials.push_back(entry.at);
    }
    std::ranges::sort(trials);
    decision.age = now - latest;
    const auto wait = [&](TrialVerdict verdict, Instant until) {
        decision.verdict = verdict;
        decision.retryAfter = until - now;
    };
    std::optional<Instant> running = runningTrial(entries, now);
    if (!running)
        running = runningTrialOfRival(trait, entries, now);
    const std::size_t most = mostTrials(trait, isCulprit(trait, now));
    decision.verdict = TrialVerdict::MayBeTried;
    if (running)
        wait(TrialVerdict::TrialRunning, *running + TrialTime);
    else if (trials.size() >= most)
        wait(TrialVerdict::Quarantined, trials[trials.size() - most] + TrialWindow);
    else if (const Duration pause = isPresumed && decision.trials == 0
                 ? spread(trait, ShortestPresumedPause)
                 : trialPause(trait, trials.size(), isCulprit(trait, now));
             !trials.empty() && trials.back() + pause > now)
        wait(TrialVerdict::Quarantined, trials.back() + pause);
    return decision;
}

std::optional<CrashNotice> SuspectTraits::notice(std::uint64_t trait, Instant now) const
{
    const auto known = m_traits.find(trait);
    if (known == m_traits.end())
        return std::nullopt;
    CrashNotice notice;
    notice.trait = trait;
    if (const std::optional<Instant> sound = soundOf(trait).lastBegan(trait))
        notice.soundAgeMs = std::min(ageInMs(*sound, now), CrashNotice::Never - 1);
    for (const Entry &entry : known->second)
        notice.entries.push_back(
            {entry.id, entry.isTrial, entry.isCleared, ageInMs(entry.at, now), entry.origin});
    return notice;
}

std::vector<std::uint64_t> SuspectTraits::traits() const
{
    std::vector<std::uint64_t> all;
    for (const auto &[trait, entries] : m_traits)
        all.push_back(trait);
    return all;
}

std::vector<std::uint64_t> SuspectTraits::suspects() const
{
    std::vector<std::uint64_t> suspects = traits();
    std::erase_if(suspects, [this](std::uint64_t trait) { return !isSuspect(trait); });
    return suspects;
}

std::optional<UnitBudget> SuspectTraits::budget(std::uint64_t trait, Instant now) const
{
    if (!isSuspect(trait))
        return std::nullopt;
    const auto trials = static_cast<std::size_t>(
        std::ranges::count_if(m_traits.at(trait), [now](const Entry &entry) {
            return isActive(entry, true) && now - entry.at < TrialWindow;
        }));
    UnitBudget budget = trialBudget();
    // The trial that makes a culprit is the last one at this rate that fails.
    if (!isCulprit(trait, now))
        budget.perSecond = 1 / secondsOf(ShortestFirstPause);
    budget.ungrantedUnits = trials < mostTrials(trait, isCulprit(trait, now)) ? budget.bucket : 0;
    return budget;
}

UnitBudgets SuspectTraits::budgets(Instant now) const
{
    UnitBudgets budgets;
    for (const auto &[trait, entries] : m_traits) {
        if (const std::optional<UnitBudget> one = budget(trait, now))
            budgets.emplace(trait, *one);
    }
    return budgets;
}

bool SuspectTraits::isExpired(const Entry &entry, Instant now)
{
    if (entry.isCleared)
        return now - entry.cleared > ClearedMemory;
    return now - entry.at > (entry.isTrial ? Duration(TrialWindow) : Duration(CrashMemory));
}

void SuspectTraits::review(Instant now)
{
    for (auto &[trait, entries] : m_traits)
        std::erase_if(entries, [now](const Entry &entry) { return isExpired(entry, now); });
    std::erase_if(m_traits, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_tried, [&](std::uint64_t trait) {
        const auto known = m_traits.find(trait);
        return known == m_traits.end() || !runningTrial(known->second, now);
    });
}

} // namespace Apricothook
