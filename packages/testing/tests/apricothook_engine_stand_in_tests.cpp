#include "apricothook_stand_in_client.hpp"

#include <apricothook/testing/apricothook_engine_stand_in.hpp>

#include <doctest/doctest.h>
#include <thread>

using namespace Apricothook;
using namespace std::chrono_literals;

namespace {

EngineOptions fastEngine()
{
    EngineOptions options;
    options.prefillRate = 1e6;
    options.decodeRate = 2000;
    options.restartTime = 50ms;
    return options;
}

std::string orderBody(int fencing)
{
    return R"({"order":"load-model","subject":"m","version":"1","fencing":)"
        + std::to_string(fencing) + "}";
}

} // namespace

TEST_SUITE("[engine-stand-in]")
{
    TEST_CASE("An answer derives byte by byte from its request")
    {
        EngineStandIn engine(fastEngine());
        const CompletionRequest request {"m", std::string(3000, 'p'), 20};
        const ClientAnswer answer = complete(engine.port(), "s1", request);
        CHECK(answer.status == 200);
        CHECK(isExpectedAnswer(request, answer.body));
        CHECK_FALSE(isExpectedAnswer(request, answer.body.substr(0, answer.body.size() - 1)));
        CHECK_FALSE(isExpectedAnswer({"m", "another", 20}, answer.body));
        CHECK(engine.runs("s1") == RunCount {1, 1, 1, 0});
    }

    TEST_CASE("A second call with the same prefix reads only what is new")
    {
        EngineStandIn engine(fastEngine());
        const std::string history(10 * PrefixBlockBytes, 'h');
        const CompletionRequest request {"m", history + "more", 1};
        complete(engine.port(), "s1", request);
        const ClientAnswer answer = complete(engine.port(), "s2", request);
        CHECK(answer.body == expectedAnswer(request, 10UL * PrefixBlockTokens));
        CHECK(engine.counts()["prefillTokens"].asDouble() == doctest::Approx(2561 + 1));
    }

    TEST_CASE("A broken answer is resumed at its offset without a second run")
    {
        // The caller of the engine sees its connection close in the middle of the answer. The
        // work goes on inside, so the rest is fetched by the stream's id, from where it broke.
        EngineStandIn engine(fastEngine());
        EngineFaults faults;
        faults.kills = 1;
        faults.killAfterBytes = 100;
        engine.setFaults(faults);
        const CompletionRequest request {"m", "prompt", 30};
        const ClientAnswer first = complete(engine.port(), "s1", request);
        CHECK(first.body.size() == 100);
        const ClientAnswer rest = callStandIn(engine.port(), "GET", "/v1/streams/s1?offset=100");
        CHECK(isExpectedAnswer(request, first.body + rest.body));
        CHECK(engine.runs("s1") == RunCount {1, 1, 1, 0});
    }

    TEST_CASE("A crash loses streams and cache and takes a new boot number")
    {
        // The marker's prefill crashes the engine: connections close, the prompt work of all
        // running requests is wasted, and after the restart no stream is known any more.
        EngineOptions options = fastEngine();
        EngineStandIn engine(options);
        const auto boot = engine.counts()["boot"].asUInt64();
        const ClientAnswer answer = complete(engine.port(), "s1", {"m", options.crashMarker, 5});
        CHECK(answer.body.empty());
        std::this_thread::sleep_for(options.restartTime * 2);
        CHECK(callStandIn(engine.port(), "GET", "/v1/streams/s1").status == 404);
        CHECK(engine.counts()["boot"].asUInt64() != boot);
        CHECK(engine.runs("s1") == RunCount {1, 1, 0, 0});
    }

    TEST_CASE("An order with an old fencing number or from a stranger is refused where checked")
    {
        EngineOptions options = fastEngine();
        const auto order = [](EngineStandIn &engine, int fencing, const std::string &token) {
            const std::string header
                = token.empty() ? "" : "Authorization: Bearer " + token + "\r\n";
            return callStandIn(engine.port(), "POST", "/v1/orders", orderBody(fencing), header)
                .status;
        };
        SUBCASE("checked")
        {
            options.checksFencing = true;
            options.senderToken = "t";
            EngineStandIn engine(options);
            CHECK(order(engine, 7, "") == 401);
            CHECK(order(engine, 7, "t") == 200);
            CHECK(order(engine, 6, "t") == 409);
            CHECK(order(engine, 7, "t") == 200);
            CHECK(engine.counts()["appliedOrders"].asUInt() == 1);
        }
        SUBCASE("ignored")
        {
            EngineStandIn engine(options);
            CHECK(order(engine, 7, "") == 200);
            CHECK(order(engine, 6, "") == 200);
        }
    }
}

TEST_SUITE("[engine-work]")
{
    TEST_CASE("A cancelled request wastes the prompt tokens that were read for it")
    {
        EngineOptions options;
        options.prefillRate = 1000;
        EngineWork work(options);
        const Instant start {1s};
        work.advance(start, 1);
        work.accept("s1", "k1", {"m", std::string(8000, 'p'), 10});
        work.advance(start + 1ms, 1);
        work.advance(start + 501ms, 1);
        CHECK(work.cancel("s1", start + 501ms));
        CHECK_FALSE(work.cancel("other", start + 501ms));
        CHECK(work.wastedPrefill() == doctest::Approx(500));
        CHECK(work.counts().of("k1") == RunCount {1, 1, 0, 0});
    }

    TEST_CASE("Requests beyond the slots wait, and a load report tells of the past")
    {
        EngineOptions options;
        options.slots = 2;
        options.loadLag = 500ms;
        EngineWork work(options);
        const Instant start {1s};
        work.advance(start, 1);
        for (const char *id : {"a", "b", "c"})
            work.accept(id, id, {"m", "prompt", 1000});
        work.advance(start + 400ms, 1);
        CHECK(work.loadAt(start + 300ms).running == 0);
        CHECK(work.loadAt(start + 400ms).running == 2);
        CHECK(work.loadAt(start + 400ms).waiting == 1);
    }

    TEST_CASE("A full batch and a straggler slow every stream down")
    {
        const auto tokensAfterOneSecond = [](int streams, double straggler) {
            EngineOptions options;
            options.slots = 4;
            EngineWork work(options);
            work.advance(Instant {1s}, 1);
            for (int i = 0; i < streams; ++i)
                work.accept(std::to_string(i), "k", {"m", "", 1000});
            work.advance(Instant {1s + 1us}, straggler);
            work.advance(Instant {2s + 1us}, straggler);
            return work.find("0")->outputTokens;
        };
        CHECK(tokensAfterOneSecond(1, 1) == 60);
        CHECK(tokensAfterOneSecond(4, 1) == 30);
        CHECK(tokensAfterOneSecond(1, 3) == 20);
    }

    TEST_CASE("The prefix cache drops the least recently used block")
    {
        PrefixCache cache(2);
        const std::vector<PrefixHash> blocks {PrefixHash(1), PrefixHash(2)};
        cache.store(blocks);
        cache.touch({PrefixHash(1)});
        const std::vector<CacheChange> changes = cache.store({PrefixHash(3)});
        REQUIRE(changes.size() == 2);
        CHECK(changes[0].prefix == PrefixHash(2));
        CHECK_FALSE(changes[0].isStored);
        CHECK(cache.touch(blocks) == 1);
    }
}
