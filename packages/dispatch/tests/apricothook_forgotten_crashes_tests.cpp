#include <apricothook_emulated_suspects.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t Request = 5;
/** Sends of a request that crashes its targets, in ten minutes after its third crash. */
constexpr std::size_t MaximumSends = 3;
/** Time until a crash is known, or until the sender counts as started. */
constexpr seconds SpreadTime {1};

struct CautiousFixture
{
    CautiousFixture() { requests.setCautiousUntil(clock.now() + SuspectTraits::CautionTime); }
    void crash(std::uint64_t instance) { requests.recordCrash(Request, instance, clock.now()); }
    TrialDecision decide() const { return requests.decide(Request, clock.now()); }

    ManualClock clock;
    SuspectTraits requests;
};

/** A fleet whose daemons are all killed now and then. */
struct ForgetfulFleet : EmulatedSuspects
{
    ForgetfulFleet(std::size_t daemons, std::size_t targets, std::uint64_t seed)
        : EmulatedSuspects(daemons, targets, seed), size(daemons)
    {
        run(seconds(6));
    }
    void restartAll()
    {
        for (std::size_t daemon = 0; daemon < size; ++daemon)
            killDaemon(daemon);
        run(milliseconds(600));
        for (std::size_t daemon = 0; daemon < size; ++daemon)
            restartDaemon(daemon);
    }

    const std::size_t size;
};

std::uint64_t seedCount()
{
    constexpr std::uint64_t DefaultSeeds = 20;
    const char *wanted = std::getenv("SUSPECT_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : DefaultSeeds;
}

} // namespace

TEST_CASE("a crash counts as that of a culprit while the fleet may have forgotten others")
{
    CautiousFixture fixture;
    fixture.clock.advance(seconds(10));
    fixture.crash(1);
    CHECK(fixture.decide().verdict == TrialVerdict::Quarantined);
    CHECK(fixture.decide().retryAfter >= SuspectTraits::ShortestPresumedPause);
    CHECK(fixture.requests.isSuspect(Request));
    fixture.clock.advance(2 * SuspectTraits::ShortestPresumedPause);
    CHECK(fixture.decide().verdict == TrialVerdict::MayBeTried);
    fixture.requests.startTrial(Request, 9, fixture.clock.now());
    fixture.clock.advance(milliseconds(90));
    fixture.crash(2);
    CHECK(fixture.decide().retryAfter > minutes(2));
}

TEST_CASE("an answer after a presumed culprit's crash clears it")
{
    CautiousFixture fixture;
    fixture.crash(1);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.requests.recordAnswer(Request, fixture.clock.now(), fixture.clock.now()));
    CHECK(fixture.decide().verdict == TrialVerdict::Clear);
    CHECK_FALSE(fixture.requests.isSuspect(Request));
}

TEST_CASE("content that was answered since the fleet's start is no presumed culprit")
{
    // Guards against popular requests that are refused because they ran beside a crash.
    CautiousFixture fixture;
    fixture.clock.advance(seconds(1));
    fixture.requests.recordAnswer(Request, fixture.clock.now(), fixture.clock.now());
    fixture.clock.advance(seconds(1));
    fixture.crash(1);
    CHECK(fixture.decide().verdict == TrialVerdict::Clear);
    fixture.crash(2);
    CHECK(fixture.decide().verdict == TrialVerdict::MayBeTried);
    // Daemons that haven't met it are told.
    SuspectTraits other;
    other.setCautiousUntil(fixture.clock.now() + SuspectTraits::CautionTime);
    other.recordCrash(Request, 1, fixture.clock.now());
    CHECK(other.isSuspect(Request));
    other.take(*fixture.requests.notice(Request, fixture.clock.now()), fixture.clock.now());
    CHECK(other.decide(Request, fixture.clock.now()).verdict == TrialVerdict::MayBeTried);
}

TEST_CASE("a crash after the time of caution is the first of two")
{
    CautiousFixture fixture;
    fixture.clock.advance(SuspectTraits::CautionTime);
    fixture.crash(1);
    CHECK(fixture.decide().verdict == TrialVerdict::Clear);
}

TEST_CASE("the bound of a request that crashes targets holds over starts of the whole fleet")
{
    // Guards against sends and a trial that are used anew whenever no daemon remembers the request.
    // SUSPECT_SEEDS sets the number of seeds.
    std::size_t worst = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        DeterministicRandom draw(seed);
        const std::size_t daemons = draw.next() % 10 == 0 ? 84 : 4 + draw.next() % 17;
        const std::size_t targets = draw.next() % 2 == 0 ? 3 : 40;
        ForgetfulFleet fleet(daemons, targets, seed);
        const std::uint64_t harmless = fleet.addHarmless(20);
        const std::uint64_t crashing = fleet.addCrashing(1 + static_cast<double>(draw.next() % 20));
        fleet.run(seconds(10));
        for (std::size_t start = 0; start < MaximumSends; ++start) {
            fleet.restartAll();
            fleet.run(milliseconds(4000 + draw.next() % 40000));
        }
        CAPTURE(seed);
        CAPTURE(daemons);
        CAPTURE(targets);
        CHECK(fleet.crashes(crashing) >= 3);
        CHECK(fleet.mostSendsAfterThirdCrash(crashing, SpreadTime) <= MaximumSends);
        worst = std::max(worst, fleet.mostSendsAfterThirdCrash(crashing, SpreadTime));
        // What was beside a crash before it was answered is refused until its trial.
        fleet.stopCallers(crashing);
        fleet.run(2 * SuspectTraits::ShortestPresumedPause);
        const Instant calm = fleet.now();
        fleet.run(seconds(5));
        CHECK(fleet.refusedSince(harmless, calm) == 0);
        CHECK(fleet.answeredSince(harmless, calm) >= 90);
    }
    MESSAGE("most sends after a third crash " << worst);
}

TEST_CASE("harmless requests are served beside crashes after a start of the whole fleet")
{
    for (const std::size_t targets : {3, 40}) {
        CAPTURE(targets);
        ForgetfulFleet fleet(9, targets, 53);
        const std::uint64_t popular = fleet.addHarmless(40);
        const std::uint64_t rare = fleet.addHarmless(0.5);
        fleet.restartAll();
        fleet.run(seconds(5));
        std::vector<std::size_t> some {0, 1};
        fleet.crashTargets(some);
        fleet.run(seconds(4));
        const Instant back = fleet.now();
        fleet.run(seconds(10));
        CHECK(fleet.refusedSince(popular, back) == 0);
        CHECK(fleet.answeredSince(popular, back) >= 380);
        CHECK(fleet.refusedSince(rare, back) == 0);
    }
}
