#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/dispatch/apricothook_request_traits.hpp>
#include <apricothook/dispatch/apricothook_sound_traits.hpp>
#include <apricothook/dispatch/apricothook_unit_budget.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Budget of the trials of one trait by all daemons together; a trial takes one unit. */
UnitBudget trialBudget();

/** Whether a request may be sent. */
enum class TrialVerdict {
    Clear,        ///< No suspicion.
    MayBeTried,   ///< The request may be sent once it has a unit of the trait's limit of trials.
    TrialRunning, ///< A trial of the trait, or of another one that it is confused with, runs.
    Quarantined,  ///< The next trial isn't due yet.
    InFlight,     ///< It is at a target of a service that has lost targets, as far as is known.
    Unknown,      ///< This daemon has just started and knows no suspects yet.
};

std::string_view nameOf(TrialVerdict verdict);

/** The verdict on a request, and what it is based on. */
struct TrialDecision
{
    TrialVerdict verdict = TrialVerdict::Clear;
    /** The trait that the verdict rests on. */
    std::uint64_t trait = 0;
    /** Crashes of different target instances at which requests with the trait were running. */
    std::size_t crashes = 0;
    /** Trials of the last SuspectTraits::TrialWindow. */
    std::size_t trials = 0;
    /** Time since the last crash or the start of the last trial. */
    Duration age {};
    /** Time after which the verdict may be another; zero unless the request must wait. */
    Duration retryAfter {};
    /** It is a part of prompts that no target is known to have answered. */
    bool isUnprovenPart = false;

    /** Whether a trial, in a service with so many targets in use, may crash one of them. */
    bool mayRisk(std::size_t usable, std::size_t targets) const
    {
        return !isUnprovenPart || usable > 1 || targets <= 1;
    }
    auto operator<=>(const TrialDecision &) const = default;
};

/**
 * What this daemon knows of requests that were running when targets crashed, by what they have in
 * common: their traits.
 *
 * A trait whose requests were running at the crashes of CrashesOfSuspect target instances is
 * suspect, whatever ran beside them. From then on its requests are sent only as trials. An answer
 * that began after the crashes clears all traits of its request. What is innocent, and crashes with
 * the target of something else or when many targets fail at once, is cleared by its first trial.
 *
 * A request has several traits, and one to blame takes the others along. A trial is therefore
 * that of one trait, the one with the least evidence for it: that was answered least recently, or
 * never. So the part that a whole route's prompts begin with doesn't pay for a rare one after it.
 *
 * A fleet whose daemons have all just started can't know how many targets a content has crashed
 * before. For a while it takes the first crash under a content that no target has answered since
 * for the last one of a culprit, whose trial has failed.
 *
 * Daemons exchange what they know. Each crash and each trial has an id, so the same news counts
 * once, whatever way it takes, and a cleared crash isn't revived by a late message.
 */
class SuspectTraits
{
public:
    static constexpr std::size_t CrashesOfSuspect = 2;
    /** The same for a part of prompts that has been answered at this daemon. */
    static constexpr std::size_t CrashesOfProvenPart = 4;
    /** At most MaximumTrials of a request may begin in any TrialWindow. */
    static constexpr std::size_t MaximumTrials = 3;
    /**
     * The same for a request that was at CrashesOfCulprit crashes. An innocent one is answered at
     * the first, unless that is lost with another request.
     */
    static constexpr std::size_t MaximumTrialsOfCulprit = 2;
    static constexpr std::size_t CrashesOfCulprit = 3;
    /** Failed trials of a part of prompts after which it counts as such a culprit. */
    static constexpr std::size_t TrialsOfCulprit = 2;
    static constexpr std::chrono::minutes TrialWindow {10};
    /** Origin of a crash at which requests of several customers had the trait. */
    static constexpr std::uint64_t SeveralCustomers = 0;
    /** Time for which the outcome of a trial is awaited, from its start. */
    static constexpr std::chrono::seconds TrialTime {1};
    /**
     * Shortest pauses after the first trial and after later ones; the longest are twice as long.
     * Requests that were lost in the same crashes differ in them, so that one doesn't fail because
     * of the other again.
     */
    static constexpr std::chrono::seconds ShortestFirstPause {2};
    static constexpr std::chrono::seconds ShortestLaterPause {10};
    /** The same after a crash that is taken for a failed trial. */
    static constexpr std::chrono::seconds ShortestPresumedPause {60};
    /** The same after any trial of a request that was at CrashesOfCulprit crashes. */
    static constexpr std::chrono::minutes ShortestCulpritPause {2};
    /** Time for which a crash is remembered. */
    static constexpr std::chrono::minutes CrashMemory {30};
    /** Time for which a fleet that remembers nothing presumes that it has forgotten crashes. */
    static constexpr std::chrono::seconds CautionTime {30};
    /** Longer than any message about a cleared crash is in transit. */
    static constexpr std::chrono::seconds ClearedMemory {60};
    static constexpr std::size_t MaximumTraits = 4096;
    /** Crashes and trials per trait; the latest are kept. */
    static constexpr std::size_t MaximumEntries = 16;

    /**
     * `instance`: targetHash() of the crashed target; `origin`: customerHash() of the requests, or
     * SeveralCustomers. Returns true if that wasn't known.
     */
    bool recordCrash(std::uint64_t trait, std::uint64_t instance, Instant crashed,
                     std::uint64_t origin = SeveralCustomers);
    void startTrial(std::uint64_t trait, std::uint64_t trial, Instant now);
    /** The trial didn't reach a target, or the target stated that it didn't run the request. */
    void withdrawTrial(std::uint64_t trait, std::uint64_t trial, Instant now);
    /**
     * A target has answered a request with the trait, and began to at `began` or later. Returns
     * true if that cleared a crash or a trial.
     */
    bool recordAnswer(std::uint64_t trait, Instant began, Instant now);
    /** Merges the knowledge of another daemon. Returns true if that changed this daemon's. */
    bool take(const CrashNotice &notice, Instant now);
    /** Whether the sender of the notice doesn't know that something was cleared. */
    bool contradicts(const CrashNotice &notice) const;
    /** Whether the sender doesn't know that targets have ever lived through the trait. */
    bool isProvenOnlyHere(const CrashNotice &notice) const;

    /** The fleet may have forgotten crashes, which is presumed of all contents that crash until
     * then.
     */
    void setCautiousUntil(Instant time) { m_cautiousUntil = time; }
    bool isCautious(Instant now) const { return now < m_cautiousUntil; }

    /** Whether the request may be sent, as far as its content and its parts are concerned. */
    TrialDecision decide(const RequestTraits &request, Instant now) const;
    /** Whether any customer's requests with the trait may be sent. */
    TrialDecision decide(std::uint64_t trait, Instant now) const;
    bool isSuspect(std::uint64_t trait) const
    {
        return crashes(trait) >= CrashesOfSuspect || isPresumedCulprit(trait);
    }
    /** Crashes that aren't cleared. */
    std::size_t crashes(std::uint64_t trait) const;
    /** Crashes, cleared or not. */
    std::size_t knownCrashes(std::uint64_t trait) const;
    /** Evidence that targets live through answers to requests with a trait. */
    const SoundTraits &sound() const { return m_sound; }
    /** Whether this daemon knows anything of the trait, cleared or not. */
    bool isKnown(std::uint64_t trait) const { return m_traits.contains(trait); }
    /** What this daemon knows, without a sender; empty if it knows nothing. */
    std::optional<CrashNotice> notice(std::uint64_t trait, Instant now) const;
    /** All traits that are known, suspect or not. */
    std::vector<std::uint64_t> traits() const;
    /** The traits that are suspect. */
    std::vector<std::uint64_t> suspects() const;
    /** Budget of the trials of the trait; empty unless it is suspect. */
    std::optional<UnitBudget> budget(std::uint64_t trait, Instant now) const;
    /** Budgets of the trials of all suspect traits, by their numbers. */
    UnitBudgets budgets(Instant now) const;
    /** Forgets what is too old. */
    void review(Instant now);

private:
    struct Entry
    {
        std::uint64_t id = 0;
        bool isTrial = false;
        bool isCleared = false;
        Instant at {};
        /** When this daemon learned that it is cleared. */
        Instant cleared {};
        /** The only customer whose requests are known to have been at the crash. */
        std::uint64_t origin = SeveralCustomers;
    };
    using Entries = std::vector<Entry>;

    /** Whether the fleet may have forgotten earlier crashes under the trait. */
    bool isPresumedCulprit(std::uint64_t trait) const;
    /** Whether the entry is a crash at which earlier ones are presumed. */
    bool isPresumption(const Entry &entry) const;
    const SoundTraits &soundOf(std::uint64_t trait) const;
    /** Returns true if the trait wasn't known to have been answered. */
    bool takeSound(const CrashNotice &notice, Instant now);
    static bool isActive(const Entry &entry, bool isTrial);
    static Entry *findEntry(Entries &entries, std::uint64_t id);
    static bool isExpired(const Entry &entry, Instant now);
    Entries &entriesOf(std::uint64_t trait);
    void add(std::uint64_t trait, Entries &entries, const Entry &entry);
    void evictOne();
    /** Crashes from which on the trait is suspect. */
    std::size_t crashesOfSuspect(std::uint64_t trait) const;
    /** Trials of the trait, which is known, that are followed by a crash under it. */
    std::size_t failedTrials(std::uint64_t trait, Instant now) const;
    /** Time for which the parts of one request aren't tried together, after failed trials. */
    Duration pauseOfParts(const std::vector<TrialDecision> &suspects, Instant now) const;
    /** Whether further trials of the trait, which is known, are worth little. */
    bool isCulprit(std::uint64_t trait, Instant now) const;
    /** Whether all crashes under the trait are those of another customer's requests. */
    bool concernsOthersOnly(std::uint64_t trait, std::uint64_t customer) const;
    /** Whether there is less evidence for the trait of the first decision. */
    bool isMoreSuspect(const TrialDecision &one, const TrialDecision &other) const;
    /** Whether a trial of the trait has begun and may still end with a crash or an answer. */
    static std::optional<Instant> runningTrial(const Entries &entries, Instant now);
    /** The latest running trial of a trait that shares a crash with this one. */
    std::optional<Instant> runningTrialOfRival(std::uint64_t trait, const Entries &entries,
                                               Instant now) const;
    static bool sharesCrash(const Entries &one, const Entries &other);

    std::map<std::uint64_t, Entries> m_traits;
    /** Traits that may have a running trial. */
    std::set<std::uint64_t> m_tried;
    SoundTraits m_sound;
    /** Contents that were answered while the fleet was cautious. */
    SoundTraits m_soundContents;
    Instant m_cautiousUntil {};
};

} // namespace Apricothook
