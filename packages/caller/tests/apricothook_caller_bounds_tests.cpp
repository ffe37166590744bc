#include "apricothook_server_fixture.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace Apricothook;

namespace {

constexpr std::string_view Ask = "/v1/services/plain/a";

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string answerTo(ServerFixture &fixture, std::string_view request)
{
    RawCaller caller(fixture.port);
    caller.send(request);
    return caller.readAnswer();
}

} // namespace

TEST_SUITE("[caller][bounds]")
{
    TEST_CASE("A body beyond the limit is 413 and nothing is held of it")
    {
        CallerLimits limits;
        limits.maximumBodyBytes = 1000;
        ServerFixture fixture(limits);
        fixture.start();
        std::optional<RawCaller> taken;
        SUBCASE("declared")
        {
            const std::string answer = answerTo(fixture, postRequest(Ask, std::string(1001, 'x')));
            CHECK(answer.starts_with("HTTP/1.1 413"));
            CHECK(contains(answer, R"("outcome":"not-run","reason":"body-too-large")"));
        }
        SUBCASE("chunked, found on the way")
        {
            const std::string answer = answerTo(
                fixture,
                "POST /v1/services/s/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3e9\r\n"
                    + std::string(1001, 'x') + "\r\n0\r\n\r\n");
            CHECK(answer.starts_with("HTTP/1.1 413"));
        }
        SUBCASE("with Expect: refused before the body is sent")
        {
            const std::string answer = answerTo(
                fixture,
                "POST /v1/services/s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n"
                "Expect: 100-continue\r\n\r\n");
            CHECK(answer.starts_with("HTTP/1.1 413"));
        }
        SUBCASE("just at the limit it is taken")
        {
            // Leaves after the check below, which its own departure would upset.
            RawCaller &caller = taken.emplace(fixture.port);
            caller.send(postRequest(Ask, std::string(1000, 'x')));
            const auto request = fixture.inbox.take<CallerRequest>();
            REQUIRE(request);
            CHECK(request->body->size() == 1000);
        }
        CHECK(fixture.inbox.waiting() == 0);
    }

    TEST_CASE("Bodies of all connections together stay within their budget")
    {
        // A burst of large bodies, each within its own limit, would fill the memory of a small VM
        // and the daemon would be killed with all its callers' requests.
        CallerLimits limits;
        limits.maximumHeldBodyBytes = 1500;
        ServerFixture fixture(limits);
        fixture.start();
        RawCaller first(fixture.port);
        first.send(postRequest(Ask, std::string(1000, 'x')));
        auto held = fixture.inbox.take<CallerRequest>();
        REQUIRE(held);
        const std::string refused = answerTo(fixture, postRequest(Ask, std::string(1000, 'x')));
        CHECK(contains(refused, R"("reason":"overloaded")"));
        CHECK(fixture.sink.has(744));
        CHECK(fixture.server.counts().heldBodyBytes == 1000);
        held.reset();
        CHECK(fixture.server.counts().heldBodyBytes == 0);
        RawCaller third(fixture.port);
        third.send(postRequest(Ask, std::string(1000, 'x')));
        CHECK(fixture.inbox.take<CallerRequest>());
    }

    TEST_CASE("Headers beyond the limit are 431")
    {
        CallerLimits limits;
        limits.maximumHeaderBytes = 4000;
        ServerFixture fixture(limits);
        fixture.start();
        const std::string answer
            = answerTo(fixture, getRequest(Ask, "X: " + std::string(5000, 'y') + "\r\n"));
        CHECK(answer.starts_with("HTTP/1.1 431"));
        CHECK(contains(answer, R"("reason":"headers-too-large")"));
        const std::string hopeless
            = answerTo(fixture, getRequest(Ask, "X: " + std::string(60000, 'y') + "\r\n"));
        CHECK(hopeless.starts_with("HTTP/1.1 431"));
    }

    TEST_CASE("Malformed requests are refused as not run and never reach the core")
    {
        ServerFixture fixture;
        fixture.start();
        const auto isBad = [&](std::string_view request) {
            const std::string answer = answerTo(fixture, request);
            return answer.starts_with("HTTP/1.1 400") && contains(answer, R"("not-run")");
        };
        CHECK(isBad(getRequest(Ask, "Idempotency-Key: a b\r\n")));
        CHECK(isBad(getRequest(Ask, "Idempotency-Key: \r\n")));
        CHECK(isBad(getRequest(Ask, "Idempotency-Key: " + std::string(257, 'k') + "\r\n")));
        CHECK(isBad(getRequest(Ask, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n")));
        CHECK(isBad(getRequest(Ask, "Prefer: wait=soon\r\n")));
        CHECK(isBad(getRequest(Ask, "Prefer: wait=-1\r\n")));
        CHECK(isBad(getRequest("/v1/services/s/%2e./secret")));
        CHECK(isBad(getRequest("/v1/services/%zz/a")));
        CHECK(isBad(getRequest("/v1/services//a")));
        CHECK(isBad(getRequest("/v1/requests/")));
        CHECK(isBad(getRequest("/v1/requests/a%00b")));
        CHECK(isBad(postRequest("/v1/entries", "")));
        CHECK(isBad("GET /v1/services/s/a HTTP/1.0\r\nHost: a\r\n\r\n"));
        CHECK(answerTo(fixture, getRequest("/v2/x")).starts_with("HTTP/1.1 404"));
        CHECK(fixture.inbox.waiting() == 0);
    }

    TEST_CASE("A connection beyond the limit is told so and closed")
    {
        CallerLimits limits;
        limits.maximumConnections = 2;
        ServerFixture fixture(limits);
        fixture.start();
        RawCaller first(fixture.port);
        RawCaller second(fixture.port);
        first.send(getRequest(Ask));
        second.send(getRequest(Ask));
        CHECK(fixture.inbox.take<CallerRequest>());
        CHECK(fixture.inbox.take<CallerRequest>());
        RawCaller third(fixture.port);
        third.send(getRequest(Ask));
        const std::string answer = third.readAll();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(contains(answer, R"("reason":"too-many-connections")"));
        limits.maximumConnections = 10;
        fixture.server.setLimits(limits);
        RawCaller fourth(fixture.port);
        fourth.send(getRequest(Ask));
        CHECK(fixture.inbox.take<CallerRequest>());
    }

    TEST_CASE("A body that drips in is given up when its time is over")
    {
        // One byte now and then starts the library's time-out anew each time: a few thousand such
        // callers would hold all connections for hours.
        CallerLimits limits;
        limits.bodyTimeout = std::chrono::seconds(5);
        ServerFixture fixture(limits);
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send("POST /v1/services/s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx");
        while (fixture.server.counts().heldBodyBytes == 0)
            std::this_thread::yield();
        fixture.clock.advance(std::chrono::seconds(6));
        caller.send("y");
        CHECK(caller.readAll().empty());
        CHECK(fixture.sink.has(743));
        CHECK(fixture.inbox.waiting() == 0);
    }

    TEST_CASE("Headers that drip in are given up when their time is over")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send("GET /v1/services/s/a HTTP/1.1\r\nHost:");
        while (fixture.server.counts().connections == 0)
            std::this_thread::yield();
        fixture.clock.advance(std::chrono::seconds(31));
        CHECK(caller.readAll().empty());
        fixture.server.stop();
        CHECK(fixture.sink.has(742));
    }

    TEST_CASE("Operators ask by JSON-RPC")
    {
        ServerFixture fixture;
        fixture.inbox.answerer = [](const CoreEvent &event) {
            const auto *asked = std::get_if<OperatorQuery>(&event);
            if (asked)
                asked->answer->set_value("{\"key\":\"" + asked->key.text() + "\"}");
            return asked != nullptr;
        };
        fixture.start();
        const auto call = [&](std::string_view body) {
            return answerTo(fixture, postRequest("/v1/operator", body));
        };
        CHECK(contains(call(R"({"jsonrpc":"2.0","id":7,"method":"status"})"),
                       R"("result":{"key":""})"));
        CHECK(contains(call(R"({"jsonrpc":"2.0","id":7,"method":"explain","params":{"key":"k1"}})"),
                       R"("result":{"key":"k1"})"));
        CHECK(contains(call(R"({"jsonrpc":"2.0","id":7,"method":"explain"})"), "-32602"));
        CHECK(contains(call(R"({"jsonrpc":"2.0","id":7,"method":"reboot"})"), "-32601"));
        CHECK(contains(call("{"), "-32700"));
        CHECK(contains(call(R"({"jsonrpc":"2.0","method":"status"})"), "-32604"));
        fixture.inbox.isFull = true;
        CHECK(contains(call(R"({"jsonrpc":"2.0","id":7,"method":"status"})"), "-32000"));
    }

    TEST_CASE("An address that is taken is a typed error")
    {
        ServerFixture fixture;
        fixture.start();
        CallerServer second(Endpoint {"127.0.0.1", fixture.port}, {}, fixture.clock, fixture.inbox,
                            fixture.sink);
        CHECK(second.start().error() == CallerServerError::ListenFailed);
        CallerServer third(Endpoint {"nowhere", 1}, {}, fixture.clock, fixture.inbox, fixture.sink);
        CHECK(third.start().error() == CallerServerError::BadAddress);
    }
}
