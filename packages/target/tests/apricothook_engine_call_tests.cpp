#include "apricothook_scripted_target.hpp"
#include "apricothook_target_bench.hpp"

#include <apricothook/target/internal/apricothook_engine_documents.hpp>
#include <apricothook/target/internal/apricothook_event_scanner.hpp>

#include <rapidcheck.h>

using namespace Apricothook;

namespace {

ScriptedTarget::Script answersWith(RequestLog &log,
                                   const std::function<std::string(std::string)> &answer)
{
    return [&log, answer](ScriptedConnection &connection, int) {
        for (std::string request; !(request = connection.readRequest()).empty();) {
            log.add(request);
            connection.send(answer(request));
        }
    };
}

EngineOrder loadModel(const Endpoint &address, Instant notAfter)
{
    EngineOrder order;
    order.id = 5;
    order.target = TargetId("t");
    order.address = address;
    order.subject = "m";
    order.version = "2";
    order.fencing = 77;
    order.notAfter = notAfter;
    return order;
}

} // namespace

TEST_SUITE("[target][engine-call]")
{
    TEST_CASE("A poll gives load and cache events, over one connection for many polls")
    {
        RequestLog log;
        const ScriptedTarget target(answersWith(log, [](const std::string &request) {
            const bool isLoad = request.starts_with("GET /v1/load");
            return plainAnswer("200 OK", "",
                               isLoad ? "{\"running\":2,\"waiting\":3,\"kvTokensUsed\":4,"
                                        "\"kvTokensTotal\":9,\"ageMs\":50}"
                                      : "{\"events\":[{\"sequence\":9,\"kind\":\"evicted\","
                                        "\"prefix\":\"00000000000000ff\"},{\"sequence\":8,"
                                        "\"kind\":\"stored\",\"prefix\":\"0000000000000001\"}]}");
        }));
        TargetBench bench;
        const TargetId id("t");
        for (std::size_t poll = 1; poll <= 5; ++poll) {
            bench.client.order(PollOrder {id, target.address(), 8});
            REQUIRE(waitUntil([&] { return bench.inbox.all<CacheEvents>().size() == poll; }));
            REQUIRE(waitUntil([&] { return bench.inbox.all<LoadReport>().size() == poll; }));
        }
        const LoadReport expected {id, true, 2, 3, 4, std::chrono::milliseconds(50)};
        CHECK(bench.inbox.all<LoadReport>()[0] == expected);
        const std::vector<CacheEvent> events = bench.inbox.all<CacheEvents>()[0].events;
        CHECK(events == std::vector {CacheEvent {9, false, PrefixHash(255)}});
        CHECK(target.connections() <= 2);
        CHECK(log.count("GET /v1/cache-events?after=8 ") == 5);
    }

    TEST_CASE("A load report that can't be read counts as no report")
    {
        // A broken engine must not look idle: whatever isn't a whole, sound document gives an
        // unreachable target, never zeros that draw work to it.
        std::string body;
        SUBCASE("not JSON")
        {
            body = "{\"running\":";
        }
        SUBCASE("missing member")
        {
            body = "{\"running\":1}";
        }
        SUBCASE("negative")
        {
            body = "{\"running\":-1,\"waiting\":0,\"kvTokensUsed\":0,\"ageMs\":0}";
        }
        SUBCASE("too deep")
        {
            body = std::string(50'000, '[');
        }
        SUBCASE("too long")
        {
            body = std::string(MaximumDocumentBytes + 1, ' ') + "{}";
        }
        RequestLog log;
        const ScriptedTarget target(
            answersWith(log, [&](const std::string &) { return plainAnswer("200 OK", "", body); }));
        TargetBench bench;
        bench.client.order(PollOrder {TargetId("t"), target.address(), 0});
        REQUIRE(waitUntil([&] { return !bench.inbox.all<LoadReport>().empty(); }));
        CHECK(bench.inbox.all<LoadReport>()[0] == LoadReport {TargetId("t")});
        CHECK(bench.inbox.all<CacheEvents>().empty());
    }

    TEST_CASE("Polls of a silent engine don't pile up")
    {
        RequestLog log;
        const ScriptedTarget target([&log](ScriptedConnection &connection, int) {
            log.add(connection.readRequest());
            connection.waitForEnd();
        });
        TargetBench bench;
        const PollOrder poll {TargetId("t"), target.address(), 0};
        for (int turn = 0; turn < 20; ++turn)
            bench.client.order(poll);
        REQUIRE(waitUntil([&] { return log.all().size() == 2; }));
        bench.clock.advance(TargetOptions {}.callDeadline);
        REQUIRE(waitUntil([&] { return !bench.inbox.all<LoadReport>().empty(); }));
        CHECK_FALSE(bench.inbox.all<LoadReport>()[0].isReachable);
        CHECK(target.connections() == 2);
    }

    TEST_CASE("An engine order carries its fencing number and token and gives the status back")
    {
        RequestLog log;
        const ScriptedTarget target(answersWith(
            log, [](const std::string &) { return plainAnswer("409 Conflict", "", "{}"); }));
        TargetOptions options;
        options.engineOrderToken = "secret";
        TargetBench bench(options);
        const Instant soon = bench.clock.now() + std::chrono::seconds(1);
        bench.client.order(loadModel(target.address(), soon));
        REQUIRE(waitUntil([&] { return !bench.inbox.all<EngineOrderEnded>().empty(); }));
        const EngineOrderEnded ended = bench.inbox.all<EngineOrderEnded>()[0];
        CHECK(ended.id == 5);
        CHECK(ended.status == 409);
        const std::string request = log.all()[0];
        CHECK(request.starts_with("POST /v1/orders HTTP/1.1\r\n"));
        CHECK(request.find("Authorization: Bearer secret\r\n") != std::string::npos);
        CHECK(request.ends_with("{\"fencing\":77,\"order\":\"load-model\",\"subject\":\"m\","
                                "\"version\":\"2\"}"));
    }

    TEST_CASE("An engine order that comes too late is never sent")
    {
        // The daemon slept since it confirmed with its peers that the order is still in force. An
        // engine that ignores fencing numbers would carry an old order out.
        RequestLog log;
        const ScriptedTarget target(
            answersWith(log, [](const std::string &) { return plainAnswer("200 OK", "", "{}"); }));
        TargetBench bench;
        bench.client.order(
            loadModel(target.address(), bench.clock.now() - std::chrono::microseconds(1)));
        REQUIRE(waitUntil([&] { return !bench.inbox.all<EngineOrderEnded>().empty(); }));
        CHECK(bench.inbox.all<EngineOrderEnded>()[0].status == 0);
        CHECK(target.connections() == 0);
    }

    TEST_CASE("The scanner sees the same in a stream however it is cut")
    {
        const std::string body
            = "data: {\"token\":\"a\"}\n\ndata: {\"token\":\"data: [DONE]\"}\n\n"
              "data: {\"usage\":{\"promptTokens\":9,\"cachedTokens\":41}}\n\ndata: [DONE]\n\n";
        rc::check([&](const std::vector<std::uint8_t> &cuts) {
            EventScanner scanner;
            std::size_t at = 0;
            for (const std::uint8_t cut : cuts) {
                const std::size_t size = std::min<std::size_t>(cut % 32, body.size() - at);
                scanner.feed(std::string_view(body).substr(at, size));
                at += size;
                RC_ASSERT(scanner.isDone() == (at == body.size()));
            }
            scanner.feed(std::string_view(body).substr(at));
            RC_ASSERT(scanner.isDone());
            RC_ASSERT(scanner.tokens() == 2U);
            RC_ASSERT(scanner.cachedTokens() == 41U);
            scanner.feed("data");
            RC_ASSERT(!scanner.isDone());
        });
    }
}
