#include "apricothook_dispatch_bench.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <random>

using namespace Apricothook;

namespace {

constexpr std::chrono::milliseconds GapObjective {400};

/** A service whose targets are of unlike speed, with a limit on pauses. */
struct UnevenBench : DispatchBench
{
    explicit UnevenBench(Duration objective = GapObjective)
    {
        targets.setGapObjectives({{Service, objective}});
    }
    /** The target reads a prompt of 10,000 tokens in about `reading`. */
    void addTarget(const std::string &id, std::uint32_t slots, std::chrono::milliseconds reading)
    {
        DispatchBench::addTarget(id, slots);
        targets.find(TargetId(id))->speed.addFirstEvent(10000, reading * 14 / 10);
        targets.find(TargetId(id))->speed.addGap(reading / 4);
    }
    void offerPrompt(std::uint64_t id, std::uint64_t tokens)
    {
        QueuedRequest offered = request(id);
        offered.size = {tokens, 10, true};
        offered.objective = std::chrono::milliseconds(800);
        dispatcher.submit(offered, clock.now());
    }
    void setOthers(const std::string &id, std::uint32_t running, std::uint64_t unread)
    {
        targets.setMemberLoad(7, {{targetHash({TargetId(id)}), running, unread}}, clock.now());
    }
};

} // namespace

TEST_CASE("a pause is the time of all unread prompts and of the usual gap")
{
    StallForecast forecast(std::chrono::milliseconds(400), 5000);
    CHECK(forecast.pause({0.02, 30, 0}) == doctest::Approx(130));
    CHECK(forecast.pause({0.02, 30, 10000}) == doctest::Approx(330));
    CHECK(forecast.limit() == doctest::Approx(160));
    CHECK_FALSE(forecast.isExceeded({0.02, 30, 1000}));
    CHECK(forecast.isExceeded({0.02, 30, 5000}));
}

TEST_CASE("a prompt that is too long for every target may stall the fastest")
{
    // Without this a very long prompt would be refused though targets have free slots.
    StallForecast forecast(std::chrono::milliseconds(400), 50000);
    forecast.addCandidate({0.04, 90, 0});
    forecast.addCandidate({0.01, 20, 0});
    CHECK(forecast.limit() == doctest::Approx(1.3 * 520));
    CHECK_FALSE(forecast.isExceeded({0.01, 20, 0}));
    CHECK(forecast.isExceeded({0.04, 90, 0}));
}

TEST_CASE("without a gap objective no pause is too long")
{
    CHECK_FALSE(StallForecast(Duration::zero(), 50000).isExceeded({0.04, 90, 0}));
}

TEST_CASE("a long prompt goes to a target where it doesn't stall the running streams")
{
    // Every stream at the slow target would be late.
    UnevenBench bench;
    bench.addTarget("slow", 4, std::chrono::milliseconds(400));
    bench.setOthers("slow", 1, 0);
    bench.addTarget("fast", 4, std::chrono::milliseconds(80));
    for (std::uint64_t id = 1; id <= 3; ++id)
        bench.offerPrompt(id, 12000);
    CHECK(bench.placements.targets == std::vector<std::string> {"fast", "fast", "fast"});
    bench.offerPrompt(4, 500);
    CHECK(bench.placements.placed.size() == 4);
}

TEST_CASE("a long prompt waits for a fast target while only a slow one has a free slot")
{
    UnevenBench bench;
    bench.addTarget("slow", 4, std::chrono::milliseconds(400));
    bench.addTarget("fast", 1, std::chrono::milliseconds(80));
    bench.offerPrompt(1, 500);
    bench.offerPrompt(2, 500);
    REQUIRE(bench.placements.targets == std::vector<std::string> {"fast", "slow"});
    bench.offerPrompt(3, 12000);
    CHECK(bench.placements.placed.size() == 2);
    CHECK(bench.dispatcher.waiting() == 1);
    // Short prompts aren't held up by the one that waits.
    bench.offerPrompt(4, 500);
    CHECK(bench.placements.targets.back() == "slow");
    bench.finish("fast");
    CHECK(bench.placements.placed.back() == 3);
    CHECK(bench.placements.targets.back() == "fast");
}

TEST_CASE("a long prompt that waited in vain is refused with a time to retry")
{
    UnevenBench bench;
    bench.addTarget("slow", 4, std::chrono::milliseconds(400));
    bench.addTarget("fast", 1, std::chrono::milliseconds(80));
    bench.offerPrompt(1, 500);
    bench.offerPrompt(2, 500);
    bench.offerPrompt(3, 12000);
    bench.clock.advance(std::chrono::milliseconds(800));
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.refused == std::vector<std::uint64_t> {3});
    CHECK(bench.placements.lastRefusal.retryAfter >= Dispatcher::ShortestRetryAfter);
}

TEST_CASE("an idle target takes any prompt")
{
    // No stream runs there that could pause.
    UnevenBench bench;
    bench.addTarget("slow", 4, std::chrono::milliseconds(400));
    bench.addTarget("fast", 1, std::chrono::milliseconds(80));
    bench.offerPrompt(1, 500);
    REQUIRE(bench.placements.targets == std::vector<std::string> {"fast"});
    bench.offerPrompt(2, 12000);
    CHECK(bench.placements.targets.back() == "slow");
}

TEST_CASE("unread prompts that other daemons sent count")
{
    // Two daemons that don't know of each other's prompts stall the same target together.
    UnevenBench bench;
    bench.addTarget("a", 6, std::chrono::milliseconds(80));
    bench.addTarget("b", 6, std::chrono::milliseconds(100));
    bench.setOthers("a", 1, 30000);
    bench.offerPrompt(1, 12000);
    CHECK(bench.placements.targets.back() == "b");
    SUBCASE("until they are read")
    {
        bench.setOthers("a", 1, 0);
        bench.offerPrompt(2, 12000);
        CHECK(bench.placements.targets.back() == "a");
    }
    SUBCASE("until their daemon is silent")
    {
        bench.targets.setMemberLoad(7, {}, bench.clock.now());
        bench.offerPrompt(2, 12000);
        CHECK(bench.placements.targets.back() == "a");
    }
}

TEST_CASE("unread prompts are reported only for services that limit pauses")
{
    UnevenBench bench;
    bench.addTarget("t", 4, std::chrono::milliseconds(80));
    bench.offerPrompt(1, 700);
    REQUIRE(bench.targets.ownLoad().size() == 1);
    CHECK(bench.targets.ownLoad().front().unreadTokens == 700);
    bench.targets.setGapObjectives({});
    CHECK(bench.targets.ownLoad().front().unreadTokens == 0);
}

TEST_CASE("the shortest gap objective of a service's streams counts")
{
    const WeightedService service {Service, 1};
    ServingConfiguration configuration;
    configuration.routes.resize(4);
    for (RouteRule &route : configuration.routes) {
        route.services = {service};
        route.isStream = true;
    }
    configuration.routes[0].gapObjective = std::chrono::milliseconds(800);
    configuration.routes[1].gapObjective = std::chrono::milliseconds(400);
    configuration.routes[3].gapObjective = std::chrono::milliseconds(100);
    configuration.routes[3].isStream = false;
    CHECK(gapObjectivesOf(configuration)
          == std::map<ServiceId, Duration> {{Service, std::chrono::milliseconds(400)}});
}

namespace {

/** Streams that ran at a target beside the reading of prompts, in emulated engines. */
struct StreamCounts
{
    unsigned stalled = 0;
    unsigned placed = 0;
};

/**
 * Requests with prompts of 100 to 50,000 tokens arrive for ten seconds at nine targets of six
 * slots; a third of the targets needs 4.4 times as long. Each stream makes 20 events.
 */
StreamCounts replayMixedPrompts(Duration objective)
{
    struct Stream
    {
        std::string target;
        RequestSize size;
        Instant firstEvent {};
        Instant end {};
        bool hasFirstEvent = false;
        bool isStalled = false;
    };
    UnevenBench bench(objective);
    std::map<std::string, double> readingTimes;
    for (int index = 0; index < 9; ++index) {
        const std::string id = "t" + std::to_string(index);
        const int reading = index % 3 == 0 ? 352 : 80;
        bench.addTarget(id, 6, std::chrono::milliseconds(reading));
        readingTimes[id] = reading / 10000.0;
    }
    std::map<std::uint64_t, Stream> streams;
    std::map<std::uint64_t, RequestSize> offered;
    std::mt19937 random(7);
    std::lognormal_distribution<double> lengths(std::log(2500), 1.4);
    StreamCounts counts;
    const auto milliseconds = [](double count) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(count));
    };
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        bench.clock.advance(std::chrono::milliseconds(10));
        const Instant now = bench.clock.now();
        for (auto next = streams.begin(); next != streams.end();) {
            Stream &stream = next->second;
            const TargetInstance target {TargetId(stream.target)};
            if (!stream.hasFirstEvent && stream.firstEvent <= now) {
                stream.hasFirstEvent = true;
                bench.targets.firstEventReceived(
                    target, stream.size,
                    milliseconds(readingTimes[stream.target]
                                 * (static_cast<double>(stream.size.promptTokens) + 4000)));
            }
            if (stream.end > now) {
                ++next;
                continue;
            }
            counts.stalled += stream.isStalled ? 1 : 0;
            bench.targets.requestEnded(target, stream.size, TargetOutcome::Served,
                                       std::chrono::milliseconds(600), true, now);
            next = streams.erase(next);
        }
        const auto tokens = static_cast<std::uint64_t>(std::clamp(lengths(random), 100.0, 50000.0));
        offered[id] = {tokens, 20, true};
        const std::size_t before = bench.placements.placed.size();
        bench.dispatcher.review(now);
        bench.offerPrompt(id, tokens);
        for (std::size_t at = before; at < bench.placements.placed.size(); ++at) {
            const std::uint64_t placed = bench.placements.placed[at];
            const std::string &target = bench.placements.targets[at];
            const double perToken = readingTimes[target];
            const Duration reading
                = milliseconds(perToken * static_cast<double>(offered[placed].promptTokens));
            for (auto &[other, stream] : streams) {
                if (stream.target == target && stream.hasFirstEvent && reading > GapObjective)
                    stream.isStalled = true;
            }
            streams[placed] = {.target = target,
                               .size = offered[placed],
                               .firstEvent = now + reading + std::chrono::milliseconds(20),
                               .end = now + reading + milliseconds(perToken * 2500 * 20),
                               .hasFirstEvent = false,
                               .isStalled = false};
            ++counts.placed;
        }
    }
    return counts;
}

} // namespace

TEST_CASE("prompts of mixed lengths stall few streams at targets of unlike speed")
{
    // Long prompts at slow targets made every stream there late, so its callers paid for others.
    const StreamCounts before = replayMixedPrompts(Duration::zero());
    const StreamCounts after = replayMixedPrompts(GapObjective);
    REQUIRE(before.stalled * 50 > before.placed);
    CHECK(after.stalled * 4 < before.stalled);
    CHECK(after.placed >= before.placed * 19 / 20);
}
