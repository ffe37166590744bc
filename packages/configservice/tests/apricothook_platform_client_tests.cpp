#include "apricothook_platform_fakes.hpp"

#include <apricothook/configservice/apricothook_core_answer_source.hpp>
#include <apricothook/configservice/internal/apricothook_seeded_random.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

struct TestClient
{
    explicit TestClient(const Endpoint &platform, PlatformPaceLimits limits = {})
        : client(PlatformSurroundings {core, checker, seal, shelf, clock, events, counters},
                 platform, 1, limits)
    {
        client.start();
    }
    RecordingInbox core;
    FakeChecker checker;
    RpcSeal seal {testKeys()};
    TextShelf shelf;
    RealClock clock;
    RecordingEventSink events;
    PlatformCounters counters;
    PlatformClient client;
};

PlatformPaceLimits quick()
{
    PlatformPaceLimits limits;
    limits.watchWait = std::chrono::seconds(1);
    limits.watchSpacing = std::chrono::milliseconds(1);
    limits.vmSpacing = std::chrono::milliseconds(1);
    limits.firstRetry = std::chrono::milliseconds(1);
    limits.lastRetry = std::chrono::milliseconds(20);
    return limits;
}

} // namespace

TEST_SUITE_BEGIN("[platform][client]");

TEST_CASE("A watcher is given each text that is published, checked, and then the reachability")
{
    FakePlatform platform;
    platform.publishText(3, "good");
    TestClient test(platform.endpoint(), quick());
    test.client.setWatching(true, Generation(2));
    const auto arrived = test.core.wait<ConfigurationReceived>();
    REQUIRE(arrived);
    CHECK(arrived->configuration->generation == Generation(3));
    CHECK(arrived->configuration->textHash == hashOf("good"));
    CHECK(*arrived->text == "good");
    REQUIRE(test.core.wait<PlatformReachability>());
    CHECK(std::holds_alternative<ConfigurationReceived>(CoreEvent(*arrived)));
    CHECK(test.core.kinds().at(0) == CoreEvent(*arrived).index());

    platform.publishText(4, "bad");
    const auto rejected = test.core.wait<ConfigurationRejected>();
    REQUIRE(rejected);
    CHECK(rejected->generation == Generation(4));
    CHECK(rejected->errors == 1);
    platform.publishText(5, "better");
    REQUIRE(test.core.wait<ConfigurationReceived>(2));
    CHECK(test.core.all<ConfigurationRejected>().size() == 1);
}

TEST_CASE("A platform with an old revision, or garbage, is passed over and read ever more seldom")
{
    // The platform lost its data and answers at once with what it has. Taking it would bring an old
    // setup back; reading on at full rate would spend the reads that all readers share.
    FakePlatform platform;
    platform.isStale = true;
    PlatformPaceLimits limits = quick();
    limits.firstRetry = std::chrono::milliseconds(100);
    limits.lastRetry = std::chrono::seconds(60);
    PlatformEvent expected = PlatformEvent::PlatformStale;
    SUBCASE("old revision")
    {
        platform.publishText(2, "good");
    }
    SUBCASE("garbage")
    {
        platform.publish(9, "{\"revision\":\"9\"");
        expected = PlatformEvent::PlatformMalformed;
    }
    TestClient test(platform.endpoint(), limits);
    test.client.setWatching(true, Generation(5));
    REQUIRE(test.core.wait<PlatformReachability>(3));
    test.client.stop();
    CHECK(test.core.all<ConfigurationReceived>().empty());
    CHECK(test.events.count(expected) >= 3);
    CHECK(platform.configReads <= 8);
}

TEST_CASE("A platform whose connections are silent is noticed by our own deadline")
{
    const ListeningPort silent;
    TestClient test(silent.endpoint(), quick());
    test.client.readOnce(Generation());
    const auto reachability = test.core.wait<PlatformReachability>();
    REQUIRE(reachability);
    CHECK_FALSE(reachability->isReachable);
    CHECK(test.counters.platformFailures == 1);
}

TEST_CASE("Leaving VMs are given once for each revision")
{
    FakePlatform platform;
    platform.publishVms(
        R"({"revision":4,"vms":[{"id":"a","state":"live"},{"id":"b","state":"leaving"}]})");
    TestClient test(platform.endpoint(), quick());
    test.client.setWatching(true, Generation());
    const auto first = test.core.wait<VmListReceived>();
    REQUIRE(first);
    CHECK(first->list == VmList {4, {VmId("b")}});
    platform.publishVms(R"({"revision":3,"vms":[]})");
    platform.publishVms(R"({"revision":5,"vms":[]})");
    const auto second = test.core.wait<VmListReceived>(2);
    REQUIRE(second);
    CHECK(second->list == VmList {5, {}});
}

TEST_CASE("A text fetched from a member is checked here too before the core hears of it")
{
    ServingMember holder(testKeys());
    const std::string good = longText(9000);
    const std::string bad = good + "bad";
    holder.shelf.put(Generation(7), hashOf(good), std::make_shared<const std::string>(good));
    holder.shelf.put(Generation(8), hashOf(bad), std::make_shared<const std::string>(bad));
    TestClient test(freeEndpoint());
    test.client.fetchText(holder.endpoint, Generation(7), hashOf(good));
    const auto arrived = test.core.wait<ConfigurationReceived>();
    REQUIRE(arrived);
    CHECK(*arrived->text == good);
    test.client.offerText(Generation(7), hashOf(good), arrived->text);
    test.client.fetchText(holder.endpoint, Generation(8), hashOf(bad));
    const auto rejected = test.core.wait<ConfigurationRejected>();
    REQUIRE(rejected);
    CHECK(rejected->textHash == hashOf(bad));
    CHECK(test.counters.piecesReused > 0);
}

TEST_CASE("Every kept answer that is asked for ends in an event, also when the holder is gone")
{
    TestClient test(freeEndpoint());
    const Endpoint gone = freeEndpoint();
    for (std::uint64_t exchange = 1; exchange <= 100; ++exchange)
        test.client.fetchAnswer(gone, RequestKey("k"), ExchangeId(exchange));
    REQUIRE(test.core.wait<KeptAnswerFetched>(100));
    for (const KeptAnswerFetched &arrived : test.core.all<KeptAnswerFetched>())
        CHECK(arrived.answer == nullptr);
}

TEST_CASE("A member's question for a kept answer doesn't wait for a core that never answers")
{
    RecordingInbox core;
    CoreAnswerSource source(core);
    CHECK(source.keptAnswer(RequestKey("k")) == nullptr);
    CHECK(core.all<KeptAnswerQuery>().size() == 1);
}

TEST_CASE("The reads of a fleet's watchers are bounded, also when the platform comes back")
{
    // After an outage all 14 watchers of 7 data centres retry. Their waits have grown to 10 s and
    // are jittered: in no second do more than a few of them come together.
    const PlatformPaceLimits limits;
    constexpr int Watchers = 14;
    std::vector<int> readsInSecond(300, 0);
    for (int watcher = 0; watcher < Watchers; ++watcher) {
        SeededRandom random(static_cast<std::uint64_t>(watcher));
        PlatformPace pace(limits.watchSpacing, limits);
        Duration at {};
        while (at < std::chrono::seconds(300)) {
            ++readsInSecond[static_cast<std::size_t>(at / std::chrono::seconds(1))];
            at += pace.afterFailure(random);
        }
    }
    CHECK(readsInSecond[0] >= Watchers);
    const int late = *std::max_element(readsInSecond.begin() + 60, readsInSecond.end());
    CHECK(late <= 6);
    SeededRandom random(1);
    PlatformPace pace(limits.watchSpacing, limits);
    Duration total {};
    for (int read = 0; read < 100; ++read)
        total += pace.afterAnswer(random);
    CHECK(total >= std::chrono::seconds(20));
}

TEST_SUITE_END();
