#include "apricothook_slow_http_server.hpp"

#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/fleetview/apricothook_view_age.hpp>
#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

/** Pages are requested by "/all", changes by "/after/REVISION"; the response is a revision. */
class NumberProtocol : public ItemProtocol
{
public:
    std::string pagePath(const std::string &) const override { return "/all"; }
    Result<ItemPage, ItemProtocolError> page(const SourceAnswer &answer) const override
    {
        if (answer.status != 200)
            return ItemProtocolError::Refused;
        return ItemPage {{{}, true, std::stoul(answer.body)}, false};
    }
    std::string watchPath(Revision after, std::chrono::milliseconds) const override
    {
        return "/after/" + std::to_string(after);
    }
    Result<ItemUpdate, ItemProtocolError> watched(const SourceAnswer &answer) const override
    {
        if (answer.status == 410)
            return ItemProtocolError::HistoryCompacted;
        if (answer.status != 200)
            return ItemProtocolError::Refused;
        const Revision revision = std::stoul(answer.body);
        return ItemUpdate {{{"key", "value", revision}}, false, revision};
    }
};

/** A source on the test's loop, with a watcher that reads it. */
struct ItemWatcherFixture
{
    ManualClock clock;
    EventLoop loop {clock};
    NumberProtocol protocol;
    std::vector<std::string> requests;
    unsigned status = 200;
    Revision revision = 5;
    std::vector<SourceState> states;
    std::vector<Revision> revisions;
    std::vector<Instant> confirmations;
    std::unique_ptr<SimpleHttpServer> server
        = SimpleHttpServer::open(loop, {"127.0.0.1", 0}, [this](const RequestHead &request) {
              requests.push_back(request.target);
              return SimpleHttpResponse {status, "text/plain", std::to_string(revision)};
          }).value();
    ItemWatcher watcher {
        {"127.0.0.1", server->port()},
        protocol,
        clock,
        ItemWatcher::LongestWatch,
        [this](const ItemUpdate &update) {
            loop.post([this, revision = update.revision] { revisions.push_back(revision); });
        },
        [this](Instant time) { loop.post([this, time] { confirmations.push_back(time); }); },
        [this](SourceState state, const TransferRecord &) {
            loop.post([this, state] { states.push_back(state); });
        }};

    /** Runs the loop until `isTrue` holds. The limit only ends a failing test. */
    bool waitUntil(const std::function<bool()> &isTrue)
    {
        constexpr int MaximumRounds = 5000;
        for (int round = 0; round < MaximumRounds && !isTrue(); ++round)
            loop.runOnce(std::chrono::milliseconds(1));
        return isTrue();
    }
    /** Runs the loop for three times the pause of an active watcher between two calls. */
    void runThreeBatchDelays()
    {
        for (auto left = 3 * ItemWatcher::BatchDelay; left.count() > 0; --left)
            loop.runOnce(std::chrono::milliseconds(1));
    }
    bool waitForRequest(const std::string &path)
    {
        return waitUntil([&] { return std::ranges::find(requests, path) != requests.end(); });
    }
};

} // namespace

TEST_CASE("the watch time leaves another reader enough time to take over")
{
    // Guards against a late configuration when the reader's connection breaks without a reset just
    // before it. The reader notices after the wait and the time-out; then another one takes over.
    for (const int milliseconds : {1500, 2000, 3000}) {
        const std::chrono::milliseconds applyTimeout {milliseconds};
        const auto detectionTime = ItemWatcher::BatchDelay + ItemWatcher::watchTime(applyTimeout)
            + ItemWatcher::AnswerTime;
        CHECK(detectionTime + ItemWatcher::FailoverTime <= applyTimeout);
    }
    CHECK(ItemWatcher::watchTime(std::chrono::seconds(9)) == ItemWatcher::LongestWatch);
    CHECK(ItemWatcher::watchTime(Duration::zero()) == ItemWatcher::ShortestWatch);
}

TEST_CASE("a watcher reads all items, then requests later changes")
{
    ItemWatcherFixture fixture;
    CHECK(fixture.waitForRequest("/after/5"));
    CHECK(fixture.requests.front() == "/all");
    CHECK(fixture.waitUntil([&] { return !fixture.revisions.empty(); }));
    CHECK(fixture.states == std::vector<SourceState> {SourceState::Reachable});
}

TEST_CASE("a watcher reads all items again when the source no longer has the changes")
{
    ItemWatcherFixture fixture;
    CHECK(fixture.waitForRequest("/after/5"));
    fixture.requests.clear();
    fixture.status = 410;
    CHECK(fixture.waitForRequest("/all"));
}

TEST_CASE("a paused watcher sends no requests and resumes from a later known revision")
{
    // Calls to the source are rate-limited and cost money. A daemon that gets the items from
    // readers makes no calls. When it resumes, it requests only the changes that it lacks, and
    // reports the state of the source anew.
    ItemWatcherFixture fixture;
    CHECK(fixture.waitForRequest("/after/5"));
    fixture.watcher.pauseReading();
    // The open call completes, and no other one follows.
    const std::size_t before = fixture.requests.size();
    fixture.runThreeBatchDelays();
    CHECK(fixture.requests.size() <= before + 1);
    fixture.requests.clear();
    fixture.states.clear();
    fixture.revision = 90;
    fixture.watcher.resumeReading(80);
    CHECK(fixture.waitForRequest("/after/80"));
    CHECK(fixture.requests.front() == "/after/80");
    CHECK(fixture.waitUntil([&] { return !fixture.states.empty(); }));
}

TEST_CASE("a stopped watcher sends no more requests, and its destruction doesn't block")
{
    // Guards against a daemon that outlives its grace period because its source is slow. The
    // watcher is stopped earlier, so that its thread has ended when the process ends.
    ItemWatcherFixture fixture;
    CHECK(fixture.waitForRequest("/after/5"));
    fixture.watcher.stop();
    const std::size_t before = fixture.requests.size();
    fixture.runThreeBatchDelays();
    CHECK(fixture.requests.size() <= before + 1);
}

TEST_CASE("a refusing source is reported once, and so is its return")
{
    ItemWatcherFixture fixture;
    CHECK(fixture.waitForRequest("/after/5"));
    fixture.status = 503;
    CHECK(fixture.waitUntil([&] { return fixture.states.size() == 2; }));
    fixture.status = 200;
    CHECK(fixture.waitUntil([&] { return fixture.states.size() == 3; }));
    CHECK(fixture.states
          == std::vector<SourceState> {SourceState::Reachable, SourceState::Refusing,
                                       SourceState::Reachable});
}

TEST_CASE("a large response that the source sends slowly but steadily is received")
{
    // Guards against a daemon on a small link that never gets a large configuration, as each call
    // is aborted before its response is complete.
    ManualClock clock;
    EventLoop loop(clock);
    const NumberProtocol protocol;
    SlowHttpServer source(loop, [] { return std::string(200'000, ' ') + "5"; });
    std::optional<Revision> received;
    const ItemWatcher watcher(
        {"127.0.0.1", source.port()}, protocol, clock, ItemWatcher::LongestWatch,
        [&](const ItemUpdate &update) {
            loop.post([&, revision = update.revision] { received = revision; });
        },
        [](Instant) {}, [](SourceState, const TransferRecord &) {});
    constexpr int MaximumRounds = 5000;
    constexpr std::size_t BytesPerMillisecond = 100;
    for (int round = 0; round < MaximumRounds && !received; ++round) {
        source.sendMore(BytesPerMillisecond);
        loop.runOnce(std::chrono::milliseconds(1));
    }
    CHECK(received == 5);
}

TEST_CASE("a watcher confirms the view with each response, as of its request")
{
    ItemWatcherFixture fixture;
    CHECK(fixture.waitUntil([&] { return fixture.confirmations.size() >= 3; }));
    // The clock stands still, so no poll seems to have been held open.
    for (const Instant time : fixture.confirmations)
        CHECK(time == fixture.clock.now());
}

TEST_CASE("between two polls the views of daemons behind a reader stay below the limit of age")
{
    // Guards against a fleet whose daemons all read at the source although their readers work.
    for (const int milliseconds : {2000, 3000, 4000, 9000}) {
        const std::chrono::milliseconds applyTimeout {milliseconds};
        const auto oldest = ItemWatcher::BatchDelay + ItemWatcher::watchTime(applyTimeout)
            + ItemWatcher::SpreadTime;
        CHECK(oldest <= ViewAge::limit(applyTimeout));
    }
}
