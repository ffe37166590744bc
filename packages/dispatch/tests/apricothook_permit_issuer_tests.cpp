#include <apricothook/dispatch/apricothook_permit_issuer.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Request = 7;
constexpr std::uint32_t LifetimeMs = 10000;

struct IssuerFixture
{
    PermitGrant ask(std::uint64_t permit, std::uint64_t request = Request)
    {
        return issuer.grant({{"10.0.0.1", 1}, permit, request, LifetimeMs}, isCautious,
                            clock.now());
    }
    bool isGranted(std::uint64_t permit, std::uint64_t request = Request)
    {
        return ask(permit, request).outcome == PermitOutcome::Granted;
    }
    void report(std::uint64_t permit, PermitUse use)
    {
        issuer.take({permit, Request, use, 0, 0}, clock.now());
    }

    ManualClock clock;
    PermitIssuer issuer;
    bool isCautious = false;
};

} // namespace

TEST_CASE("a request is at one target at a time until it begins to be answered")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    CHECK(fixture.ask(2).outcome == PermitOutcome::Busy);
    CHECK(fixture.isGranted(3, Request + 1));
    fixture.report(1, PermitUse::Sound);
    CHECK(fixture.isGranted(2));
    CHECK(fixture.isGranted(4));
    CHECK(fixture.ask(5).isSound);
}

TEST_CASE("a send that takes long doesn't hold up others of the same request")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    CHECK(fixture.ask(2).wait <= PermitIssuer::ExclusiveTime);
    fixture.clock.advance(PermitIssuer::ExclusiveTime);
    CHECK(fixture.isGranted(2));
}

TEST_CASE("a request that was lost is retried once before it is known why")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    fixture.report(1, PermitUse::Lost);
    CHECK(fixture.isGranted(2));
    fixture.report(2, PermitUse::Lost);
    fixture.clock.advance(PermitIssuer::ExclusiveTime);
    CHECK_FALSE(fixture.isGranted(3));
    SUBCASE("a target survived")
    {
        fixture.report(1, PermitUse::Unused);
        CHECK(fixture.isGranted(3));
    }
    SUBCASE("a target crashed")
    {
        fixture.report(1, PermitUse::Crashed);
        CHECK_FALSE(fixture.isGranted(3));
        fixture.report(2, PermitUse::Unused);
        CHECK(fixture.isGranted(3));
    }
    SUBCASE("nothing is found out")
    {
        fixture.clock.advance(PermitIssuer::LongestQuestion);
        CHECK(fixture.isGranted(3));
        CHECK(fixture.issuer.review(fixture.clock.now()).empty());
    }
}

TEST_CASE("a lost request isn't retried before it is known why if crashes may be forgotten")
{
    // Guards against a second crash by a request that crashed targets before all daemons started.
    IssuerFixture fixture;
    fixture.isCautious = true;
    CHECK(fixture.isGranted(1));
    fixture.report(1, PermitUse::Lost);
    CHECK_FALSE(fixture.isGranted(2));
    SUBCASE("a target survived")
    {
        fixture.report(1, PermitUse::Unused);
        CHECK(fixture.isGranted(2));
        fixture.report(2, PermitUse::Sound);
        // Once it has been answered, its retry waits no longer.
        CHECK(fixture.isGranted(3));
        fixture.report(3, PermitUse::Lost);
        CHECK(fixture.isGranted(4));
    }
    SUBCASE("nothing is found out")
    {
        fixture.clock.advance(PermitIssuer::LongestQuestion);
        CHECK(fixture.isGranted(2));
    }
}

TEST_CASE("a request that was answered is sent one at a time again after a crash")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    fixture.report(1, PermitUse::Sound);
    fixture.issuer.recordCrash(Request);
    CHECK(fixture.isGranted(2));
    CHECK_FALSE(fixture.isGranted(3));
}

TEST_CASE("a repeated message for a permit is granted once")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    CHECK(fixture.isGranted(1));
    fixture.report(1, PermitUse::Unused);
    CHECK(fixture.isGranted(2));
}

TEST_CASE("a permit of which nothing is heard expires once")
{
    // Guards against crashes that are forgotten with the daemon that sent the request.
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    fixture.clock.advance(milliseconds(LifetimeMs));
    const std::vector<ExpiredPermit> expired = fixture.issuer.review(fixture.clock.now());
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].request == Request);
    CHECK(expired[0].permit == 1);
    CHECK(fixture.issuer.review(fixture.clock.now()).empty());
}

TEST_CASE("an issuer that is full forgets requests without an open permit first")
{
    IssuerFixture fixture;
    CHECK(fixture.isGranted(1));
    for (std::uint64_t other = 1; other <= PermitIssuer::MaximumRequests; ++other) {
        CHECK(fixture.isGranted(other + 1, Request + other));
        fixture.issuer.take({other + 1, Request + other, PermitUse::Unused, 0, 0},
                            fixture.clock.now());
    }
    CHECK_FALSE(fixture.isGranted(0));
}
