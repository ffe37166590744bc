#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

/** Pages are asked for with "/all", changes with "/after/REVISION"; an answer is a revision. */
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

/** A source on the test's loop, and a watcher of it. */
struct SourceBench
{
    ManualClock clock;
    EventLoop loop {clock};
    NumberProtocol protocol;
    std::vector<std::string> asked;
    unsigned status = 200;
    Revision revision = 5;
    std::vector<SourceState> states;
    std::vector<Revision> told;
    std::unique_ptr<SmallHttpServer> server
        = SmallHttpServer::open(loop, {"127.0.0.1", 0}, [this](const RequestHead &request) {
              asked.push_back(request.target);
              return SmallAnswer {status, "text/plain", std::to_string(revision)};
          }).value();
    ItemWatcher watcher {
        {"127.0.0.1", server->port()},
        protocol,
        ItemWatcher::LongestWatch,
        [this](const ItemUpdate &update) {
            loop.post([this, revision = update.revision] { told.push_back(revision); });
        },
        [this](SourceState state) { loop.post([this, state] { states.push_back(state); }); }};

    /** Lets the loop and the watcher work until it is so; no verdict depends on the limit. */
    bool becomes(const std::function<bool()> &isTrue)
    {
        constexpr int MostRounds = 5000;
        for (int round = 0; round < MostRounds && !isTrue(); ++round)
            loop.runOnce(std::chrono::milliseconds(1));
        return isTrue();
    }
    /** Three times as long as a watcher that goes on takes between two calls. */
    void passThreePauses()
    {
        for (auto left = 3 * ItemWatcher::BatchDelay; left.count() > 0; --left)
            loop.runOnce(std::chrono::milliseconds(1));
    }
    bool hasAsked(const std::string &path)
    {
        return becomes([&] { return std::ranges::find(asked, path) != asked.end(); });
    }
};

} // namespace

TEST_CASE("a watch is short enough for another reader to take over in time")
{
    // A new configuration is in force in time though the reader's connection fell silent just
    // before it: silence shows after the wait and the time-out, and then others read.
    for (const int milliseconds : {1500, 2000, 3000}) {
        const std::chrono::milliseconds inForce {milliseconds};
        const auto shows
            = ItemWatcher::BatchDelay + ItemWatcher::watchTime(inForce) + ItemWatcher::AnswerTime;
        CHECK(shows + ItemWatcher::FailoverTime <= inForce);
    }
    CHECK(ItemWatcher::watchTime(std::chrono::seconds(9)) == ItemWatcher::LongestWatch);
    CHECK(ItemWatcher::watchTime(Duration::zero()) == ItemWatcher::ShortestWatch);
}

TEST_CASE("a watcher reads all, then asks for what came later")
{
    SourceBench bench;
    CHECK(bench.hasAsked("/after/5"));
    CHECK(bench.asked.front() == "/all");
    CHECK(bench.becomes([&] { return !bench.told.empty(); }));
    CHECK(bench.states == std::vector<SourceState> {SourceState::Reachable});
}

TEST_CASE("a watcher reads all again when the source has forgotten what came between")
{
    SourceBench bench;
    CHECK(bench.hasAsked("/after/5"));
    bench.asked.clear();
    bench.status = 410;
    CHECK(bench.hasAsked("/all"));
}

TEST_CASE("a paused watcher asks nothing, and goes on from what was heard elsewhere meanwhile")
{
    // The source's calls are limited and cost money. A daemon that others read for asks nothing;
    // when it reads again it asks only for what it doesn't have, and says anew whether it may.
    SourceBench bench;
    CHECK(bench.hasAsked("/after/5"));
    bench.watcher.pauseReading();
    // The call that is under way ends; the answer to it is the last that is taken.
    const std::size_t before = bench.asked.size();
    bench.passThreePauses();
    CHECK(bench.asked.size() <= before + 1);
    bench.asked.clear();
    bench.states.clear();
    bench.revision = 90;
    bench.watcher.resumeReading(80);
    CHECK(bench.hasAsked("/after/80"));
    CHECK(bench.asked.front() == "/after/80");
    CHECK(bench.becomes([&] { return !bench.states.empty(); }));
}

TEST_CASE("a stopped watcher asks nothing more, and its end waits for nobody")
{
    // A daemon that was asked to stop ends within its grace, though its source is slow: the
    // watcher is stopped before, and its thread has ended when the process does.
    SourceBench bench;
    CHECK(bench.hasAsked("/after/5"));
    bench.watcher.stop();
    const std::size_t before = bench.asked.size();
    bench.passThreePauses();
    CHECK(bench.asked.size() <= before + 1);
}

TEST_CASE("a source that refuses is told once, and its return too")
{
    SourceBench bench;
    CHECK(bench.hasAsked("/after/5"));
    bench.status = 503;
    CHECK(bench.becomes([&] { return bench.states.size() == 2; }));
    bench.status = 200;
    CHECK(bench.becomes([&] { return bench.states.size() == 3; }));
    CHECK(bench.states
          == std::vector<SourceState> {SourceState::Reachable, SourceState::Refusing,
                                       SourceState::Reachable});
}
