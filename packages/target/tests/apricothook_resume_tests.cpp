#include "apricothook_scripted_target.hpp"
#include "apricothook_target_bench.hpp"

using namespace Apricothook;

namespace {

const std::string Body = "data: {\"token\":\"a\"}\n\ndata: {\"token\":\"bc\"}\n\n"
                         "data: {\"usage\":{\"promptTokens\":9,\"cachedTokens\":4,"
                         "\"outputTokens\":2}}\n\ndata: [DONE]\n\n";
constexpr std::size_t Half = 26;

/** The bytes of a stream from the offset that a GET asked for, whole. */
std::string restOf(const std::string &request, const std::string &boot = "1")
{
    const std::size_t offset = std::stoul(request.substr(request.find("offset=") + 7));
    const std::string rest = Body.substr(offset);
    return streamHead(boot) + (rest.empty() ? "" : chunk(rest)) + "0\r\n\r\n";
}

/** Does as told with the POST; each GET gets the rest of the stream. */
ScriptedTarget::Script engine(RequestLog &log,
                              const std::function<void(ScriptedConnection &)> &onPost,
                              const std::string &boot = "1")
{
    return [&log, onPost, boot](ScriptedConnection &connection, int) {
        const std::string request = connection.readRequest();
        log.add(request);
        if (request.starts_with("POST"))
            onPost(connection);
        else if (request.starts_with("GET"))
            connection.send(restOf(request, boot));
    };
}

void checkWhole(const DispatchOrder &order, const DispatchEnded &ended)
{
    CHECK(ended.end == RunEnd::Answered);
    CHECK(textOf(*order.answer) == Body);
    CHECK(order.answer->state() == AnswerStream::State::Finished);
    CHECK(ended.answerBytes == Body.size());
    CHECK(ended.outputTokens == 2);
    CHECK(ended.cachedTokens == 4);
}

} // namespace

TEST_SUITE("[target][resume]")
{
    TEST_CASE("A stream that breaks is resumed byte by byte")
    {
        // The caller sees one answer without a gap or a doubled token, though its engine's
        // connection ended at a bad place; the request itself isn't sent again.
        std::string sent;
        SUBCASE("before any byte of the answer") { }
        SUBCASE("after the head")
        {
            sent = streamHead();
        }
        SUBCASE("within an event")
        {
            sent = streamHead() + chunk(Body.substr(0, Half));
        }
        SUBCASE("within the last event")
        {
            sent = streamHead() + chunk(Body.substr(0, Body.size() - 5));
        }
        SUBCASE("after the last event, before the end")
        {
            sent = streamHead() + chunk(Body);
        }
        SUBCASE("with an end that hides the missing last event")
        {
            sent = streamHead() + chunk(Body.substr(0, Half)) + "0\r\n\r\n";
        }
        RequestLog log;
        const ScriptedTarget target(
            engine(log, [&](ScriptedConnection &connection) { connection.send(sent); }));
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        const DispatchEnded ended = bench.run(order);
        checkWhole(order, ended);
        CHECK(ended.resumes == 1);
        CHECK(log.count("POST") == 1);
        CHECK(log.count("GET /v1/streams/s1?offset=") == 1);
    }

    TEST_CASE("A stream whose connection goes silent is resumed on a new one")
    {
        // Something on the way lost track of the connection: nothing comes and no end either. Our
        // own deadline notices, and a new connection carries the rest.
        RequestLog log;
        const ScriptedTarget target(engine(log, [](ScriptedConnection &connection) {
            connection.send(streamHead() + chunk(Body.substr(0, Half)));
            connection.waitForEnd();
        }));
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        REQUIRE(bench.client.order(order));
        REQUIRE(bench.waitForBytes(order, Half));
        bench.clock.advance(order.deadlines.betweenBytes);
        const DispatchEnded ended = bench.end(order);
        checkWhole(order, ended);
        CHECK(log.count("GET /v1/streams/s1?offset=26 ") == 1);
    }

    TEST_CASE("A stream that can't be resumed ends as crashed with its answer left to the core")
    {
        // The engine restarted and lost the stream. The answer can't be completed; the core cuts
        // it, so that the caller never takes the half for the whole.
        RequestLog log;
        std::string boot = "1";
        std::string gone;
        int gets = 1;
        SUBCASE("unknown stream")
        {
            gone = plainAnswer("404 Not Found", "", "");
        }
        SUBCASE("another boot of the engine")
        {
            boot = "2";
        }
        SUBCASE("no answer in three tries")
        {
            gone = plainAnswer("500 Oh", "", "x");
            gets = 3;
        }
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            const std::string request = connection.readRequest();
            log.add(request);
            if (request.starts_with("POST"))
                connection.send(streamHead() + chunk(Body.substr(0, Half)));
            else
                connection.send(gone.empty() ? restOf(request, boot) : gone);
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::Crashed);
        CHECK_FALSE(ended.isProvenNotRun);
        CHECK(log.count("GET") == gets);
        CHECK(log.count("POST") == 1);
        CHECK(order.answer->state() == AnswerStream::State::Open);
        CHECK(textOf(*order.answer) == Body.substr(0, Half));
    }

    TEST_CASE("An order to resume fetches the rest and never sends the request")
    {
        RequestLog log;
        const ScriptedTarget target(engine(log, [](ScriptedConnection &) {}));
        TargetBench bench;
        DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        order.resumeOnly = true;
        std::size_t written = 0;
        SUBCASE("from the beginning") { }
        SUBCASE("from within an event")
        {
            written = Half;
        }
        SUBCASE("from within the last event")
        {
            written = Body.size() - 3;
        }
        if (written > 0) {
            order.answer->begin(AnswerHead {});
            order.answer->append(Body.substr(0, written));
        }
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::Answered);
        CHECK(ended.resumes == 0);
        CHECK(textOf(*order.answer) == Body);
        CHECK(log.count("POST") == 0);
    }

    TEST_CASE("A plain service's answer that is cut short is never completed nor asked for again")
    {
        std::string answer = "HTTP/1.1 200 OK\r\n";
        SUBCASE("shorter than its length")
        {
            answer += "Content-Length: 9\r\n\r\nhalf";
        }
        SUBCASE("without its last chunk")
        {
            answer += "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        }
        SUBCASE("of unknown length")
        {
            answer += "\r\nhalf";
        }
        RequestLog log;
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            log.add(connection.readRequest());
            connection.send(answer);
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address());
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::Crashed);
        CHECK_FALSE(ended.isProvenNotRun);
        CHECK(order.answer->state() == AnswerStream::State::Open);
        CHECK(log.all().size() == 1);
    }

    TEST_CASE("A slow caller holds its engine back and isn't taken for a silent target")
    {
        // The caller reads nothing for longer than the deadline between bytes. The engine is well:
        // its stream waits, memory stays bounded, and the answer goes on when the caller reads.
        const std::string token = "data: {\"token\":\"" + std::string(1000, 'x') + "\"}\n\n";
        constexpr int Tokens = 8000;
        RequestLog log;
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            log.add(connection.readRequest());
            connection.send(streamHead());
            for (int sent = 0; sent < Tokens; ++sent)
                connection.send(chunk(token));
            connection.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        REQUIRE(bench.client.order(order));
        REQUIRE(bench.waitForBytes(order, AnswerStream::Capacity));
        bench.clock.advance(order.deadlines.betweenBytes * 3);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        CHECK(order.answer->bytesWritten() < 2 * AnswerStream::Capacity);
        std::size_t read = 0;
        REQUIRE(waitUntil([&] {
            for (std::string part; !(part = textOf(*order.answer)).empty();)
                read += part.size();
            return order.answer->state() == AnswerStream::State::Finished;
        }));
        read += textOf(*order.answer).size();
        const DispatchEnded ended = bench.end(order);
        CHECK(ended.resumes == 0);
        CHECK(ended.outputTokens == Tokens);
        CHECK(read == ended.answerBytes);
        CHECK(log.all().size() == 1);
    }

    TEST_CASE("Work that nobody waits for is cancelled at the engine once")
    {
        RequestLog log;
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            const std::string request = connection.readRequest();
            log.add(request);
            connection.send(request.starts_with("POST") ? streamHead() + chunk(Body.substr(0, Half))
                                                        : plainAnswer("200 OK", "", "{}"));
            connection.waitForEnd();
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), ServiceKind::Engine);
        REQUIRE(bench.client.order(order));
        REQUIRE(bench.waitForBytes(order, Half));
        RunEnd expected = RunEnd::Cancelled;
        SUBCASE("by an order")
        {
            CHECK(bench.client.order(CancelOrder {order.dispatch}));
            CHECK(bench.client.order(CancelOrder {order.dispatch}));
        }
        SUBCASE("by a caller that left")
        {
            order.answer->abandon();
        }
        SUBCASE("by the end of its patience")
        {
            bench.clock.advance(std::chrono::seconds(60));
            expected = RunEnd::TimedOut;
        }
        const DispatchEnded ended = bench.end(order);
        CHECK(ended.end == expected);
        CHECK_FALSE(ended.isProvenNotRun);
        REQUIRE(waitUntil([&] { return log.count("DELETE /v1/streams/s1 ") == 1; }));
        CHECK(log.all().size() == 2);
        CHECK(bench.inbox.all<DispatchEnded>().size() == 1);
    }
}
