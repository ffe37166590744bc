#include <apricothook/gateway/apricothook_unnamed_streams.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace Apricothook;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t MostRounds = 3;

struct UnnamedFixture
{
    UnnamedFixture()
    {
        target.id = TargetId("t");
        target.service = ServiceId("s");
        target.version = TargetVersion("v1");
    }

    /** Configures routes with these prefixes, all to one service. */
    void configure(const std::set<std::string> &prefixes, const std::string &service = "s")
    {
        ServingConfiguration configuration;
        for (const std::string &prefix : prefixes) {
            RouteRule route;
            route.host = "host";
            route.prefix = prefix;
            route.services = {{ServiceId(service), 1}};
            route.timeout = timeout;
            configuration.routes.push_back(route);
        }
        streams.setConfiguration(configuration);
        route = configuration.routes.front();
    }
    void pass(Duration time)
    {
        for (const Instant end = clock.now() + time; clock.now() < end;) {
            clock.advance(seconds(1));
            streams.confirmView(clock.now());
        }
    }
    /** The version at which a stream of the first route goes on; empty if it is refused. */
    TargetVersion version()
    {
        decided.reset();
        decided = streams.find(ExchangeId(1), route);
        for (std::size_t round = 0; round < MostRounds && !decided; ++round)
            streams.confirmView(clock.now());
        return decided && decided->origin ? decided->origin->version : TargetVersion();
    }

    ManualClock clock;
    EventLoop loop {clock};
    std::optional<StreamOriginDecision> decided;
    UnnamedStreams streams {
        loop, [this](ExchangeId, const StreamOriginDecision &decision) { decided = decision; }};
    TargetEntry target;
    RouteRule route;
    Duration timeout = seconds(10);
};

} // namespace

TEST_CASE("a daemon that starts again refuses unnamed streams until none can be older")
{
    UnnamedFixture fixture;
    fixture.configure({"/a/"});
    fixture.streams.putTarget(nullptr, fixture.target);
    fixture.pass(UnnamedStreams::LongestAge - seconds(2));
    CHECK(fixture.version().isEmpty());
    fixture.pass(seconds(4));
    CHECK(fixture.version() == TargetVersion("v1"));
}

TEST_CASE("unnamed streams go on at once when the whole fleet has started for the first time")
{
    UnnamedFixture fixture;
    fixture.streams.beginAtFirstStart();
    fixture.configure({"/a/"});
    fixture.streams.putTarget(nullptr, fixture.target);
    fixture.pass(seconds(1));
    CHECK(fixture.version() == TargetVersion("v1"));
    SUBCASE("but not after another version was there")
    {
        TargetEntry next = fixture.target;
        next.version = TargetVersion("v2");
        fixture.streams.putTarget(&fixture.target, next);
        fixture.pass(seconds(60));
        CHECK(fixture.version().isEmpty());
        fixture.pass(UnnamedStreams::LongestAge);
        CHECK(fixture.version() == TargetVersion("v2"));
    }
    SUBCASE("nor after a time that isn't known")
    {
        fixture.clock.advance(2 * ServiceVersions::LongestGap);
        fixture.pass(seconds(60));
        CHECK(fixture.version().isEmpty());
    }
}

TEST_CASE("the life of unnamed streams grows with the timeout of their route")
{
    UnnamedFixture fixture;
    fixture.timeout = minutes(3);
    fixture.configure({"/a/"});
    fixture.streams.putTarget(nullptr, fixture.target);
    fixture.pass(UnnamedStreams::LongestAge + seconds(2));
    CHECK(fixture.version().isEmpty());
    fixture.pass(UnnamedStreams::RequestsPerStream * fixture.timeout);
    CHECK(fixture.version() == TargetVersion("v1"));
    // Versions that left are forgotten before such streams end.
    fixture.timeout = minutes(30);
    fixture.configure({"/a/"});
    CHECK(fixture.version().isEmpty());
}

TEST_CASE("only routes that are new or moved lose their unnamed streams")
{
    UnnamedFixture fixture;
    fixture.streams.beginAtFirstStart();
    fixture.configure({"/a/"});
    fixture.streams.putTarget(nullptr, fixture.target);
    fixture.pass(seconds(1));
    fixture.configure({"/a/", "/b/"});
    CHECK(fixture.version() == TargetVersion("v1"));
    // The paths of a new route may have belonged to a shorter prefix.
    fixture.configure({"/", "/a/", "/b/"});
    CHECK(fixture.version().isEmpty());
    fixture.configure({"/a/"}, "other");
    CHECK(fixture.version().isEmpty());
    fixture.configure({"/a/"});
    CHECK(fixture.version().isEmpty());
}
