#include <apricothook/dispatch/apricothook_suspect_traits.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t Request = 5;
constexpr std::uint64_t Other = 6;

struct SuspectFixture
{
    void crash(std::uint64_t instance, std::uint64_t request = Request)
    {
        requests.recordCrash(request, instance, clock.now());
    }
    bool answer(Duration age = milliseconds(50), std::uint64_t request = Request)
    {
        return requests.recordAnswer(request, clock.now() - age, clock.now());
    }
    TrialVerdict verdict(std::uint64_t request = Request) const
    {
        return requests.decide(request, clock.now()).verdict;
    }
    /** Starts a trial that crashes its target. */
    void failTrial(std::uint64_t number)
    {
        requests.startTrial(Request, number, clock.now());
        clock.advance(milliseconds(90));
        crash(1000 + number);
    }
    void pass(Duration time) { clock.advance(time); }

    ManualClock clock;
    SuspectTraits requests;
};

} // namespace

TEST_CASE("a request is suspect from its second crash on, whatever crashed beside it")
{
    // Before few targets the same requests are at all crashes, and none would stand out.
    SuspectFixture fixture;
    for (const std::uint64_t request : {Request, Other})
        fixture.crash(1, request);
    CHECK(fixture.verdict() == TrialVerdict::Clear);
    fixture.crash(1);
    CHECK(fixture.verdict() == TrialVerdict::Clear);
    for (const std::uint64_t request : {Request, Other})
        fixture.crash(2, request);
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
    CHECK(fixture.verdict(Other) == TrialVerdict::MayBeTried);
}

TEST_CASE("an answer clears a request only if it was sent after the crashes")
{
    // A request that begins to crash targets may have been answered many times before.
    SuspectFixture fixture;
    fixture.pass(seconds(1));
    fixture.answer();
    fixture.crash(1);
    fixture.crash(2);
    CHECK_FALSE(fixture.answer(milliseconds(100)));
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
    fixture.pass(seconds(1));
    CHECK(fixture.answer(milliseconds(100)));
    CHECK(fixture.verdict() == TrialVerdict::Clear);
}

TEST_CASE("a request whose trials fail is tried twice in ten minutes, minutes apart")
{
    SuspectFixture fixture;
    fixture.crash(1);
    fixture.crash(2);
    std::vector<Duration> trials;
    for (Duration time {}; time < minutes(10) - seconds(1); time += milliseconds(90)) {
        if (fixture.verdict() == TrialVerdict::MayBeTried) {
            trials.push_back(time);
            fixture.failTrial(trials.size());
        } else {
            fixture.pass(milliseconds(90));
        }
    }
    REQUIRE(trials.size() == SuspectTraits::MaximumTrialsOfCulprit);
    CHECK(trials[1] - trials[0] >= SuspectTraits::ShortestCulpritPause);
    CHECK(fixture.verdict() == TrialVerdict::Quarantined);
    fixture.pass(seconds(30));
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
}

TEST_CASE("requests that were lost in the same crash aren't tried at the same time")
{
    SuspectFixture fixture;
    for (const std::uint64_t request : {Request, Other}) {
        fixture.crash(1, request);
        fixture.crash(2, request);
    }
    fixture.requests.startTrial(Other, 9, fixture.clock.now());
    CHECK(fixture.verdict() == TrialVerdict::TrialRunning);
    fixture.pass(milliseconds(100));
    fixture.answer(milliseconds(100), Other);
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
}

TEST_CASE("a trial that no target ran doesn't count")
{
    SuspectFixture fixture;
    fixture.crash(1);
    fixture.crash(2);
    fixture.requests.startTrial(Request, 9, fixture.clock.now());
    CHECK(fixture.verdict() == TrialVerdict::TrialRunning);
    fixture.requests.withdrawTrial(Request, 9, fixture.clock.now());
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
}

TEST_CASE("daemons that exchange notices agree, in any order and with duplicates")
{
    SuspectFixture one;
    SuspectFixture other;
    one.crash(1);
    other.crash(2);
    const CrashNotice first = *one.requests.notice(Request, one.clock.now());
    CHECK(other.requests.take(first, other.clock.now()));
    CHECK_FALSE(other.requests.take(first, other.clock.now()));
    CHECK(other.verdict() == TrialVerdict::MayBeTried);
    other.pass(seconds(1));
    other.answer();
    CHECK(other.verdict() == TrialVerdict::Clear);
    // The late notice doesn't bring the crash back.
    CHECK_FALSE(other.requests.take(first, other.clock.now()));
    CHECK(other.verdict() == TrialVerdict::Clear);
    CHECK(other.requests.contradicts(first));
    one.pass(seconds(1));
    CHECK(one.requests.take(*other.requests.notice(Request, other.clock.now()), one.clock.now()));
    CHECK(one.requests.crashes(Request) == 0);
}

TEST_CASE("a request that crashed targets is kept when many others crash once")
{
    // A data centre that fails would otherwise make the daemon forget the request.
    SuspectFixture fixture;
    fixture.crash(1);
    fixture.crash(2);
    for (std::uint64_t request = 0; request < 2 * SuspectTraits::MaximumTraits; ++request) {
        fixture.pass(std::chrono::microseconds(10));
        fixture.crash(3, 100 + request);
    }
    CHECK(fixture.verdict() == TrialVerdict::MayBeTried);
    CHECK(fixture.requests.traits().size() <= SuspectTraits::MaximumTraits);
}

TEST_CASE("crashes are forgotten after half an hour")
{
    SuspectFixture fixture;
    fixture.crash(1);
    fixture.crash(2);
    fixture.pass(SuspectTraits::CrashMemory + seconds(1));
    fixture.requests.review(fixture.clock.now());
    CHECK(fixture.verdict() == TrialVerdict::Clear);
    CHECK(fixture.requests.traits().empty());
}

TEST_CASE("the units of the trials in any window stay within the bound")
{
    const UnitBudget budget = trialBudget();
    const double window = std::chrono::duration<double>(SuspectTraits::TrialWindow).count();
    // One at a time, as daemons that ask at the same time don't know of each other's trials.
    CHECK(budget.bucket == 1);
    constexpr double Rounding = 1e-9;
    CHECK(budget.bucket + budget.perSecond * window
          <= static_cast<double>(SuspectTraits::MaximumTrials) + Rounding);
    CHECK(budget.credit == 0);
    CHECK(budget.needsWholeFleet);
}

namespace {

constexpr std::uint64_t Shared = std::uint64_t(1) << 63U;
/** Parts of prompts; all requests name the first one. */
constexpr std::uint64_t Everybodys = Shared + 1;
constexpr std::uint64_t Bad = Shared + 2;
constexpr std::uint64_t Customer = 7;
constexpr std::uint64_t OtherCustomer = 8;

struct PartFixture : SuspectFixture
{
    /** Both parts were at the crash, those of several customers unless one is named. */
    void crashBoth(std::uint64_t instance, std::uint64_t origin = SuspectTraits::SeveralCustomers)
    {
        for (const std::uint64_t part : {Everybodys, Bad})
            requests.recordCrash(part, instance, clock.now(), origin);
    }
    TrialDecision decide(const std::vector<std::uint64_t> &parts,
                         std::uint64_t customer = Customer) const
    {
        return requests.decide(RequestTraits {Request, parts, customer}, clock.now());
    }
    /** Tries the suspect part of a request with both; the trial crashes its target. */
    void failTrialOfBoth(std::uint64_t number)
    {
        requests.startTrial(decide({Everybodys, Bad}).trait, number, clock.now());
        pass(milliseconds(90));
        crashBoth(1000 + number);
    }
};

} // namespace

TEST_CASE("a trial is that of the part that was answered least recently")
{
    // Guards against blame for a part that all requests of a route have in common.
    PartFixture fixture;
    fixture.requests.recordAnswer(Everybodys, fixture.clock.now(), fixture.clock.now());
    fixture.pass(seconds(1));
    for (const std::uint64_t instance : {1, 2, 3, 4})
        fixture.crashBoth(instance);
    CHECK(fixture.decide({Everybodys, Bad}).trait == Bad);
    CHECK(fixture.decide({Everybodys}).trait == Everybodys);
    for (const std::uint64_t number : {1, 2}) {
        fixture.failTrialOfBoth(number);
        fixture.pass(seconds(5));
    }
    CHECK(fixture.decide({Everybodys, Bad}).verdict == TrialVerdict::Quarantined);
    CHECK(fixture.decide({Everybodys}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("a part that was answered before is suspect from its fourth crash on")
{
    PartFixture fixture;
    fixture.requests.recordAnswer(Everybodys, fixture.clock.now(), fixture.clock.now());
    fixture.pass(seconds(1));
    for (const std::uint64_t instance : {1, 2, 3})
        fixture.crashBoth(instance);
    CHECK(fixture.decide({Bad}).verdict == TrialVerdict::MayBeTried);
    CHECK(fixture.decide({Everybodys}).verdict == TrialVerdict::Clear);
    fixture.crashBoth(4);
    CHECK(fixture.decide({Everybodys}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("a crash that is told after a later answer doesn't count")
{
    PartFixture fixture;
    fixture.crashBoth(1);
    const CrashNotice late = *fixture.requests.notice(Everybodys, fixture.clock.now());
    PartFixture other;
    other.pass(seconds(1));
    other.requests.recordAnswer(Everybodys, other.clock.now(), other.clock.now());
    other.requests.take(late, other.clock.now() - milliseconds(500));
    CHECK(other.requests.crashes(Everybodys) == 0);
    CHECK(other.requests.contradicts(late));
}

TEST_CASE("that a part was answered before is told with its crashes")
{
    // Guards against daemons that blame a part because they haven't met it yet.
    PartFixture fixture;
    fixture.requests.recordAnswer(Everybodys, fixture.clock.now(), fixture.clock.now());
    fixture.pass(seconds(1));
    fixture.crashBoth(1);
    fixture.crashBoth(2);
    PartFixture other;
    other.pass(seconds(1));
    other.crashBoth(1);
    const CrashNotice unproven = *other.requests.notice(Everybodys, other.clock.now());
    CHECK(fixture.requests.isProvenOnlyHere(unproven));
    CHECK(other.requests.take(*fixture.requests.notice(Everybodys, fixture.clock.now()),
                              other.clock.now()));
    other.requests.take(*fixture.requests.notice(Bad, fixture.clock.now()), other.clock.now());
    CHECK(other.decide({Everybodys}).verdict == TrialVerdict::Clear);
    CHECK(other.decide({Bad}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("of parts that were never answered each is tried before one is tried again")
{
    PartFixture fixture;
    fixture.crashBoth(1);
    fixture.crashBoth(2);
    const std::uint64_t first = fixture.decide({Everybodys, Bad}).trait;
    fixture.failTrialOfBoth(1);
    fixture.pass(seconds(5));
    CHECK(fixture.decide({Everybodys, Bad}).trait != first);
    // Then they aren't tried together any more, but still apart.
    fixture.failTrialOfBoth(2);
    fixture.pass(seconds(5));
    CHECK(fixture.decide({Everybodys, Bad}).verdict == TrialVerdict::Quarantined);
    CHECK(fixture.decide({Everybodys}).verdict == TrialVerdict::MayBeTried);
    CHECK(fixture.decide({Bad}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("a part that crashed targets for one customer is free for others until it does for them")
{
    PartFixture fixture;
    fixture.crashBoth(1, OtherCustomer);
    fixture.crashBoth(2, OtherCustomer);
    CHECK(fixture.decide({Bad}, OtherCustomer).verdict == TrialVerdict::MayBeTried);
    CHECK(fixture.decide({Bad}).verdict == TrialVerdict::Clear);
    fixture.crashBoth(3, Customer);
    CHECK(fixture.decide({Bad}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("a trial that nobody ended doesn't make a culprit of a part")
{
    // Guards against callers that leave before their trial is answered.
    PartFixture fixture;
    fixture.crashBoth(1);
    fixture.crashBoth(2);
    for (const std::uint64_t number : {1, 2}) {
        fixture.requests.startTrial(Bad, number, fixture.clock.now());
        fixture.pass(seconds(21));
    }
    CHECK(fixture.decide({Bad}).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("the answers of many parts are remembered within a bound")
{
    SoundTraits sound;
    for (std::uint64_t part = 0; part < 3 * SoundTraits::Capacity; ++part)
        sound.record(part, Instant() + milliseconds(part));
    CHECK_FALSE(sound.lastBegan(0));
    CHECK(sound.isSoundSince(3 * SoundTraits::Capacity - 1, Instant()));
}
