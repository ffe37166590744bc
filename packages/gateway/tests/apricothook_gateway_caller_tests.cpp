#include <apricothook_gateway_bench.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** The status line's number of the first answer; zero when there is none. */
int statusOf(const HeldConnection &caller)
{
    constexpr std::size_t Start = 9;
    return caller.received.size() > Start ? std::stoi(caller.received.substr(Start, 3)) : 0;
}

int answerTo(GatewayBench &bench, const std::string &bytes)
{
    HeldConnection &caller = bench.connect();
    caller.socket.send(bytes);
    bench.until([&] { return caller.has("\r\n\r\n") || caller.end; });
    return statusOf(caller);
}

} // namespace

TEST_CASE("a request whose end could be read in two ways is refused")
{
    // The caller hears 400 and the connection ends. A reader on the way that takes the other
    // reading would take the rest of such a body for a request of its own.
    GatewayBench bench;
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\n";
    const std::string smuggled = "GET /once/y HTTP/1.1\r\nHost: host\r\nId: b\r\n\r\n";
    CHECK(answerTo(bench,
                   start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                       + smuggled)
          == 400);
    CHECK(answerTo(bench, start + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(bench, start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled)
          == 400);
    CHECK(answerTo(bench, start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + smuggled)
          == 400);
    CHECK(answerTo(bench, start + "Content-Length: -1\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(bench, start + "Host: other\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(bench, "nonsense\r\n\r\n" + smuggled) == 400);
    bench.settle();
    CHECK(bench.target(0).requests() == 0);
}

TEST_CASE("what a caller may send is limited")
{
    GatewayBench bench;
    CHECK(answerTo(bench, GatewayBench::request("once", "a", std::string(3000, 'x'))) == 413);
    CHECK(answerTo(bench,
                   "GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nLong: " + std::string(2000, 'x')
                       + "\r\n\r\n")
          == 431);
    CHECK(answerTo(bench, GatewayBench::request("nowhere", "a")) == 404);
    CHECK(answerTo(bench, "GET /once/x HTTP/1.1\r\nHost: host\r\n\r\n") == 400);
    CHECK(bench.target(0).requests() == 0);
}

TEST_CASE("a caller that sends its head too slowly is cut off")
{
    // The caller hears 408 after the time for a head, and its connection ends. A few such callers
    // would else hold every descriptor of the daemon.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: ho");
    bench.settle();
    bench.clock.advance(std::chrono::milliseconds(3100));
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(statusOf(caller) == 408);
    CHECK(bench.until([&] { return caller.end.has_value(); }));
}

TEST_CASE("a request that its caller didn't finish reaches no target")
{
    // The caller sends half a body and leaves. Nothing of it may run.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(
        "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf");
    bench.settle();
    caller.socket.close();
    CHECK(bench.until([&] { return bench.gateway.callerConnections() == 0; }));
    bench.settle();
    CHECK(bench.target(0).requests() == 0);
}

TEST_CASE("an idle connection is closed after the idle time only")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    bench.settle();
    bench.clock.advance(std::chrono::seconds(14));
    bench.settle();
    CHECK_FALSE(caller.end);
    bench.clock.advance(std::chrono::seconds(2));
    CHECK(bench.until([&] { return caller.end.has_value(); }));
}

TEST_CASE("a request that meets the closing of its connection isn't passed on")
{
    // The caller's request and the daemon's close cross. The caller sees its connection end without
    // an answer, and may send again: the request must not run here.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    bench.settle();
    bench.gateway.stopListening();
    caller.socket.send(GatewayBench::request("once", "a"));
    CHECK(bench.until([&] { return caller.end.has_value(); }));
    bench.settle();
    CHECK(bench.target(0).requests() == 0);
}

TEST_CASE("a caller that goes on sending after a refusal still gets the refusal")
{
    // The caller sends a body that is too long and reads the answer only then. A close with unread
    // bytes would reset the connection and take the answer with it.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a", std::string(3000, 'x')));
    for (int i = 0; i < 20; ++i) {
        bench.loop.runOnce(std::chrono::milliseconds(1));
        caller.socket.send(std::string(3000, 'x'));
    }
    REQUIRE(bench.until([&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CloseReason::PeerClosed);
    CHECK(statusOf(caller) == 413);
}

TEST_CASE("a chunked body reaches the target whole")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(
        "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;note=1\r\nde\r\n0\r\n\r\n");
    REQUIRE(bench.targetWith());
    CHECK(bench.target(0).connection(0).has("Content-Length: 5\r\n"));
    CHECK(bench.target(0).connection(0).received.ends_with("abcde"));
}

TEST_CASE("headers of one connection aren't passed on")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(
        "GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nConnection: Secret\r\nSecret: 1\r\n"
        "TE: trailers\r\nUpgrade: h2c\r\nKept: yes\r\n\r\n");
    REQUIRE(bench.targetWith());
    const HeldConnection &run = bench.target(0).connection(0);
    CHECK(run.has("Kept: yes\r\n"));
    CHECK_FALSE(run.has("Secret"));
    CHECK_FALSE(run.has("Upgrade"));
    CHECK_FALSE(run.has("TE:"));
}

TEST_CASE("a leaving daemon ends each connection with its answer")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    REQUIRE(bench.targetWith());
    bench.gateway.startDraining();
    bench.target(0).connection(0).socket.send(wholeAnswer("a", "last"));
    REQUIRE(bench.until([&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CloseReason::PeerClosed);
    CHECK(caller.has("Connection: close\r\n"));
    CHECK(caller.has("last"));
}

TEST_CASE("a target isn't handed the time that a slow body took")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 900\r\n"
                       "Content-Length: 4\r\n\r\nab");
    bench.settle();
    bench.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("cd");
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    CHECK(target->connection(0).has("Patience: 300\r\n"));
}

TEST_CASE("a request whose time is over before its body is whole is refused as not run")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 500\r\n"
                       "Content-Length: 4\r\n\r\nab");
    bench.settle();
    bench.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("cd");
    bench.until([&] { return caller.has("\r\n\r\n"); });
    CHECK(statusOf(caller) == 503);
    CHECK(bench.target(0).requests() == 0);
}

TEST_CASE("a connection's idle time isn't taken from its next request")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    bench.settle();
    bench.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 900\r\n\r\n");
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    CHECK(target->connection(0).has("Patience: 900\r\n"));
}
