#include "apricothook_server_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace Apricothook;

namespace {

constexpr std::string_view Ask = "/v1/services/plain/a";

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/** The body of a chunked answer; stops at the first malformed or missing chunk. */
std::string unchunked(std::string_view answer, bool &isWhole)
{
    std::string body;
    isWhole = false;
    answer.remove_prefix(std::min(answer.find("\r\n\r\n") + 4, answer.size()));
    while (!answer.empty()) {
        const std::size_t lineEnd = answer.find("\r\n");
        if (lineEnd == std::string_view::npos)
            return body;
        const std::size_t size = std::stoul(std::string(answer.substr(0, lineEnd)), nullptr, 16);
        answer.remove_prefix(lineEnd + 2);
        isWhole = size == 0;
        if (size == 0 || answer.size() < size + 2)
            return body;
        body.append(answer.substr(0, size));
        answer.remove_prefix(size + 2);
    }
    return body;
}

} // namespace

TEST_SUITE("[caller]")
{
    TEST_CASE("A request reaches the core whole, with what its headers say")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(postRequest("/v1/services/my%20maps/tile?x=1%2F2", "hello",
                                "Authorization: Bearer secret\r\nIdempotency-Key: k/1\r\n"
                                "Apricothook-Class: urgent\r\nPrefer: respond-async, wait=7\r\n"
                                "Accept-Language: en\r\nConnection: keep-alive, X-Mine\r\n"
                                "X-Mine: 1\r\nEngine-Stream: forged\r\nX-Trace: t\r\n"));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        CHECK(request->service == ServiceId("my maps"));
        CHECK(request->path == "/tile?x=1%2F2");
        CHECK(request->method == "POST");
        CHECK(*request->body == "hello");
        CHECK(request->tokenHash
              == "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
        CHECK(request->key == RequestKey("k/1"));
        CHECK(request->requestClass == ClassId("urgent"));
        CHECK(request->wait == Duration(std::chrono::seconds(7)));
        CHECK(request->headers
              == std::vector<Header> {{"Accept-Language", "en"}, {"X-Trace", "t"}});
        CHECK(fixture.server.counts().heldBodyBytes == 5);
        request->answer->setKey(RequestKey("k/1"));
        request->answer->begin(AnswerHead {201, {{"Content-Length", "2"}, {"X-A", "b"}}});
        request->answer->append("ok");
        request->answer->finish();
        const std::string answer = caller.readAnswer();
        CHECK(answer.starts_with("HTTP/1.1 201"));
        CHECK(contains(answer, "Apricothook-Request: k/1\r\n"));
        CHECK(contains(answer, "X-A: b\r\n"));
        CHECK(answer.ends_with("\r\n\r\nok"));
    }

    TEST_CASE("A stream that comes in pieces from another thread arrives byte by byte")
    {
        // The caller sees a chunked answer. The writer appends pieces of all sizes while the
        // connection is being suspended and resumed; a lost wake would hang the read, a doubled or
        // misplaced one would change the bytes.
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        std::string expected;
        std::thread writer([&] {
            request->answer->begin(AnswerHead {200, {}});
            for (std::size_t piece = 0; piece < 3000; ++piece) {
                std::string bytes(piece % 97 + 1, static_cast<char>('a' + piece % 26));
                expected += bytes;
                request->answer->append(bytes);
                if (piece % 7 == 0)
                    std::this_thread::yield();
            }
            request->answer->finish();
        });
        const std::string answer = caller.readUntil("\r\n0\r\n\r\n");
        writer.join();
        bool isWhole = false;
        CHECK(unchunked(answer, isWhole) == expected);
        CHECK(isWhole);
    }

    TEST_CASE("The head of an answer goes out before its first byte is there")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        request->answer->begin(AnswerHead {200, {{"Content-Type", "text/event-stream"}}});
        CHECK(contains(caller.readUntil("\r\n\r\n"), "text/event-stream"));
        request->answer->append("x");
        CHECK(contains(caller.readUntil("x\r\n"), "x"));
        request->answer->finish();
        CHECK(contains(caller.readUntil("0\r\n\r\n"), "0\r\n\r\n"));
    }

    TEST_CASE("Answers without a body don't upset the next answer of their connection")
    {
        // The library writes a last chunk after a HEAD of unknown length; on a kept connection the
        // caller would read it as the beginning of its next answer.
        ServerFixture fixture;
        fixture.inbox.answerer = [](const CoreEvent &event) {
            const auto *request = std::get_if<CallerRequest>(&event);
            if (!request)
                return false;
            std::vector<Header> headers {{"X-Mine", request->method}};
            if (request->path == "/sized")
                headers.push_back({"Content-Length", "7"});
            request->answer->begin(
                AnswerHead {request->method == "DELETE" ? 204 : 200, std::move(headers)});
            request->answer->finish();
            return true;
        };
        fixture.start();
        RawCaller caller(fixture.port);
        const auto ask = [&caller](const std::string &method, const std::string &path) {
            caller.send(method + " /v1/services/s" + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            return caller.readUntil("\r\n\r\n");
        };
        CHECK(contains(ask("DELETE", "/"), "X-Mine: DELETE"));
        CHECK(contains(ask("HEAD", "/sized"), "Content-Length: 7"));
        CHECK(contains(ask("DELETE", "/"), "X-Mine: DELETE"));
        CHECK(contains(ask("HEAD", "/"), "Connection: close"));
    }

    TEST_CASE("A cut stream is seen as broken")
    {
        // The target dies in mid-answer and can't be resumed. If the caller got a proper end it
        // would take half an answer for a whole one.
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        SUBCASE("chunked: without the last chunk")
        {
            request->answer->begin(AnswerHead {200, {}});
            request->answer->append("half");
            caller.readUntil("half\r\n");
            request->answer->abort();
            CHECK_FALSE(contains(caller.readAll(), "0\r\n"));
        }
        SUBCASE("with a length: fewer bytes than that")
        {
            request->answer->begin(AnswerHead {200, {{"Content-Length", "8"}}});
            request->answer->append("half");
            caller.readUntil("half");
            request->answer->abort();
            CHECK(caller.readAll().empty());
        }
        SUBCASE("before the head: a document that says unknown")
        {
            request->answer->abort();
            const std::string answer = caller.readAnswer();
            CHECK(answer.starts_with("HTTP/1.1 502"));
            CHECK(contains(answer, R"("outcome":"unknown")"));
        }
        CHECK(fixture.inbox.waiting() == 0);
    }

    TEST_CASE("A caller that leaves while its connection is suspended cancels its work")
    {
        // The request is queued, or its stream is open and idle; the caller closes. The library
        // doesn't look at suspended sockets, so that without the watch the target would work on to
        // its end for nobody, and its slot would be lost to others.
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        SUBCASE("while it waits for the head") { }
        SUBCASE("while it waits for the next token")
        {
            request->answer->begin(AnswerHead {200, {}});
            request->answer->append("token");
            caller.readUntil("token");
        }
        caller.leave();
        const auto gone = fixture.inbox.take<CallerGone>(std::chrono::seconds(1));
        REQUIRE(gone);
        CHECK(gone->exchange == request->exchange);
        CHECK(request->answer->isAbandoned());
        // The writer may still write; nothing wakes a connection that is freed.
        request->answer->append("late");
        request->answer->finish();
        CHECK(fixture.sink.has(745));
    }

    TEST_CASE("A slow reader holds its target back and leaving cancels the work")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        request->answer->begin(AnswerHead {200, {}});
        std::size_t written = 0;
        const std::string piece(16UL * 1024, 'x');
        while (request->answer->append(piece) && written < (256U << 20U))
            written += piece.size();
        CHECK(written < (256U << 20U));
        caller.leave();
        CHECK(fixture.inbox.take<CallerGone>(std::chrono::seconds(1)));
    }

    TEST_CASE("A refusal is a problem document with the outcome")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest(Ask, "Idempotency-Key: key-1\r\n"));
        const auto request = fixture.inbox.take<CallerRequest>();
        REQUIRE(request);
        request->answer->refuse(
            Refusal {RefusalReason::Shed, Outcome::NotRun, std::chrono::milliseconds(1001)});
        const std::string answer = caller.readAnswer();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(contains(answer, "Content-Type: application/problem+json\r\n"));
        CHECK(contains(answer, "Retry-After: 2\r\n"));
        CHECK(contains(answer, "Apricothook-Request: key-1\r\n"));
        CHECK(contains(answer,
                       R"({"key":"key-1","outcome":"not-run","reason":"shed","status":503,)"
                       R"("title":"The targets are full","type":"/problems/shed"})"));
    }

    TEST_CASE("A full inbox is a refusal at once that says not-run")
    {
        ServerFixture fixture;
        fixture.start();
        fixture.inbox.isFull = true;
        RawCaller caller(fixture.port);
        caller.send(postRequest(Ask, "body"));
        const std::string answer = caller.readAnswer();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(contains(answer, R"("outcome":"not-run","reason":"overloaded")"));
        CHECK(contains(answer, "Retry-After: 1"));
        RawCaller again(fixture.port);
        again.send(postRequest(Ask, "body", "Idempotency-Key: used\r\n"));
        CHECK(contains(again.readAnswer(), R"("outcome":"unknown","reason":"overloaded")"));
        CHECK(fixture.sink.has(746));
        fixture.inbox.isFull = false;
        caller.send(getRequest(Ask));
        CHECK(fixture.inbox.take<CallerRequest>());
    }

    TEST_CASE("Kept and later answers of one connection don't mix")
    {
        ServerFixture fixture;
        fixture.inbox.answerer = [](const CoreEvent &event) {
            const auto *request = std::get_if<CallerRequest>(&event);
            if (!request)
                return false;
            request->answer->begin(AnswerHead {200, {{"Content-Length", "3"}}});
            request->answer->append(request->path.substr(1));
            request->answer->finish();
            return true;
        };
        fixture.start();
        RawCaller caller(fixture.port);
        std::string both = getRequest("/v1/services/s/one") + getRequest("/v1/services/s/two");
        caller.send(both);
        CHECK(caller.readAnswer().ends_with("\r\none"));
        CHECK(caller.readAnswer().ends_with("\r\ntwo"));
    }

    TEST_CASE("The lookups reach the core")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller caller(fixture.port);
        caller.send(getRequest("/v1/entries"));
        const auto entries = fixture.inbox.take<EntriesLookup>();
        REQUIRE(entries);
        entries->answer->begin(AnswerHead {200, {{"Content-Length", "2"}}});
        entries->answer->append("{}");
        entries->answer->finish();
        CHECK(caller.readAnswer().ends_with("{}"));
        caller.send(getRequest("/v1/requests/a%2Fb", "Authorization: bearer secret\r\n"));
        const auto lookup = fixture.inbox.take<KeyLookup>();
        REQUIRE(lookup);
        CHECK(lookup->key == RequestKey("a/b"));
        CHECK(lookup->tokenHash.size() == 64);
        lookup->answer->refuse(Refusal {RefusalReason::UnknownKey, Outcome::Unknown, {}});
        CHECK(caller.readAnswer().starts_with("HTTP/1.1 404"));
    }

    TEST_CASE("Stopping with waiting callers cuts them and ends")
    {
        ServerFixture fixture;
        fixture.start();
        RawCaller waiting(fixture.port);
        waiting.send(getRequest(Ask));
        const auto first = fixture.inbox.take<CallerRequest>();
        RawCaller streaming(fixture.port);
        streaming.send(getRequest(Ask));
        const auto second = fixture.inbox.take<CallerRequest>();
        REQUIRE(first);
        REQUIRE(second);
        second->answer->begin(AnswerHead {200, {}});
        streaming.readUntil("\r\n\r\n");
        fixture.server.stop();
        CHECK(waiting.readAll().empty());
        CHECK_FALSE(contains(streaming.readAll(), "0\r\n\r\n"));
        CHECK(first->answer->isAbandoned());
        CHECK(second->answer->isAbandoned());
    }

    TEST_CASE("A draining server ends its exchanges and refuses new ones")
    {
        // On SIGTERM a caller whose stream is open must get the rest; one that comes new must be
        // sent elsewhere with a truthful not-run.
        ServerFixture fixture;
        fixture.start();
        RawCaller idle(fixture.port);
        idle.send(getRequest("/v1/services/s/x"));
        const auto early = fixture.inbox.take<CallerRequest>();
        RawCaller streaming(fixture.port);
        streaming.send(getRequest(Ask));
        const auto open = fixture.inbox.take<CallerRequest>();
        REQUIRE(early);
        REQUIRE(open);
        early->answer->refuse(Refusal {RefusalReason::NoTarget, Outcome::NotRun, {}});
        idle.readAnswer();
        fixture.server.stopAccepting();
        RawCaller late(fixture.port);
        late.send(getRequest(Ask));
        CHECK(contains(late.readAll(), R"("outcome":"not-run","reason":"draining")"));
        idle.send(getRequest(Ask));
        const std::string refused = idle.readAll();
        CHECK(contains(refused, R"("outcome":"not-run","reason":"draining")"));
        CHECK(contains(refused, "Connection: close"));
        open->answer->begin(AnswerHead {200, {{"Content-Length", "4"}}});
        open->answer->append("rest");
        open->answer->finish();
        CHECK(streaming.readAnswer().ends_with("rest"));
    }
}
