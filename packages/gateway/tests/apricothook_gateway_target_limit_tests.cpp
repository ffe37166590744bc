#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <variant>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;

/** Records what the daemon sends to others about limits. */
class RecordingMessenger : public LimitMessenger
{
public:
    void send(const Endpoint &, const LimitMessage &message) override { sent.push_back(message); }
    void broadcast(const LimitMessage &message) override { announced.push_back(message); }

    std::vector<LimitMessage> sent;
    std::vector<LimitMessage> announced;
};

std::string limitedResponse(const std::string &id, const std::string &limit)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: yes\r\nLimit: " + limit
        + "\r\nContent-Length: 2\r\n\r\nok";
}

/** A daemon that is alone at first and grants the units of its targets' limits itself. */
struct TargetLimitFixture : GatewayFixture
{
    explicit TargetLimitFixture(std::size_t targets = 1) : GatewayFixture(targets) { }

    RecordingConnection &send(const std::string &id, const std::string &route = "once")
    {
        RecordingConnection &caller = connect();
        caller.socket.send(request(route, id));
        return caller;
    }
    /** Answers the last request that the target has received. */
    void answer(ScriptedTarget &target, const std::string &bytes) const
    {
        target.connections.back()->socket.send(bytes);
    }
    /** Sends a request to the only target, which names the limit in its answer. */
    void learn(const std::string &limit)
    {
        RecordingConnection &caller = send("learn");
        ScriptedTarget *target = waitForTarget(received + 1);
        REQUIRE(target);
        received = target->requests();
        answer(*target, limitedResponse("learn", limit));
        REQUIRE(runUntil([&] { return caller.has("ok"); }));
    }
    /** Puts the target back that a test has removed to learn the limit of the other. */
    void addSecondTarget()
    {
        TargetEntry other;
        other.id = TargetId("t1");
        other.service = ServiceId("s");
        other.address = target(1).address();
        other.dataCentre = DataCentreId("here");
        other.slots = 4;
        gateway.putTarget(other);
    }
    /** From now on another daemon grants the units; it doesn't answer. */
    void joinFleet()
    {
        gateway.setLimitMessenger(messages);
        const LimitPeer grantor {7, {"10.0.0.7", 1}};
        gateway.limits().setFleet({.members = {{grantor, 100, false}},
                                   .known = 2,
                                   .isComplete = true,
                                   .startedTogether = std::nullopt},
                                  clock.now());
    }
    void advance(Duration time)
    {
        clock.advance(time);
        runPendingEvents();
    }

    RecordingMessenger messages;
    std::size_t received = 0;
};

} // namespace

TEST_CASE("a target that names a limit gets no more requests than it allows")
{
    // The daemon passed the limit on to its caller and went on as before.
    TargetLimitFixture fixture;
    fixture.learn("2");
    for (const std::string id : {"a", "b", "c"})
        fixture.send(id);
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 1);
    fixture.advance(milliseconds(500));
    CHECK(fixture.target(0).requests() == 2);
    CHECK(fixture.log.count(GatewayEvent::TargetLimitChanged) == 1);
    CHECK(fixture.log.count(GatewayEvent::TargetLimitReached) >= 1);
}

TEST_CASE("a request goes to another target at once if the limit of the first has no unit")
{
    TargetLimitFixture fixture(2);
    fixture.gateway.removeTarget(TargetId("t1"));
    fixture.learn("0.5");
    fixture.addSecondTarget();
    for (const std::string id : {"a", "b", "c"})
        fixture.send(id);
    REQUIRE(fixture.runUntil([&] { return fixture.target(1).requests() == 3; }));
    CHECK(fixture.target(0).requests() == 1);
    CHECK(fixture.log.count(GatewayEvent::RequestRefused) == 0);
}

TEST_CASE("an answer without a limit ends it")
{
    TargetLimitFixture fixture;
    fixture.learn("2");
    fixture.advance(milliseconds(500));
    RecordingConnection &caller = fixture.send("a");
    REQUIRE(fixture.waitForTarget(2));
    fixture.answer(fixture.target(0), signedResponse("a", "ok"));
    REQUIRE(fixture.runUntil([&] { return caller.has("ok"); }));
    for (const std::string id : {"b", "c", "d"})
        fixture.send(id);
    CHECK(fixture.waitForTarget(5));
    CHECK(fixture.gateway.targets().limitedCount() == 0);
}

TEST_CASE("each send to a limited target takes a unit, a retry too")
{
    TargetLimitFixture fixture(2);
    fixture.gateway.removeTarget(TargetId("t1"));
    fixture.learn("0.5");
    fixture.addSecondTarget();
    RecordingConnection &caller = fixture.send("a", "idempotent");
    REQUIRE(fixture.runUntil([&] { return fixture.target(1).requests() == 1; }));
    fixture.target(1).crash();
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 1);
    CHECK_FALSE(caller.has("200 OK"));
}

TEST_CASE("an answer of a process that got the target's address tells nothing of its limit")
{
    TargetLimitFixture fixture;
    fixture.send("a");
    REQUIRE(fixture.waitForTarget());
    fixture.answer(fixture.target(0),
                   "HTTP/1.1 421 Other\r\nId: a\r\nLimit: 1\r\nContent-Length: 0\r\n\r\n");
    fixture.runPendingEvents();
    CHECK(fixture.gateway.targets().limitedCount() == 0);
}

TEST_CASE("an invalid limit is reported and changes nothing")
{
    TargetLimitFixture fixture;
    fixture.learn("invalid");
    CHECK(fixture.log.count(GatewayEvent::TargetLimitInvalid) == 1);
    CHECK(fixture.gateway.targets().limitedCount() == 0);
    fixture.learn("2");
    fixture.advance(milliseconds(500));
    fixture.learn("invalid");
    CHECK(fixture.gateway.targets().limitedCount() == 1);
}

TEST_CASE("a caller that leaves while its request waits for a target's unit frees the slot")
{
    TargetLimitFixture fixture;
    fixture.joinFleet();
    fixture.learn("2");
    RecordingConnection &caller = fixture.send("a");
    const auto asked = [&] {
        return std::ranges::any_of(fixture.messages.sent, [](const LimitMessage &message) {
            return std::holds_alternative<UnitsRequest>(message);
        });
    };
    REQUIRE(fixture.runUntil(asked));
    CHECK(fixture.gateway.targets().find(TargetId("t0"))->ownRequests == 1);
    caller.socket.abort();
    REQUIRE(fixture.runUntil([&] { return fixture.gateway.openRequests() == 0; }));
    const TrackedTarget *target = fixture.gateway.targets().find(TargetId("t0"));
    CHECK(target->ownRequests == 0);
    CHECK_FALSE(target->awaitsUnit);
    CHECK(fixture.target(0).requests() == 1);
}

TEST_CASE("a request that waits for a unit is sent once its target's limit has ended")
{
    TargetLimitFixture fixture;
    fixture.joinFleet();
    fixture.learn("2");
    fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return fixture.messages.sent.size() >= 2; }));
    TargetLimitNotice ended;
    ended.target = targetHash({TargetId("t0")});
    fixture.clock.advance(milliseconds(1));
    fixture.gateway.take(ended);
    fixture.advance(FleetRateLimiter::AnswerTime);
    CHECK(fixture.waitForTarget(2));
}

TEST_CASE("a request whose deadline passes while a decision is deferred is answered once")
{
    TargetLimitFixture fixture;
    fixture.learn("2");
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nPatience: 40\r\nId: a\r\n\r\n");
    fixture.runPendingEvents();
    fixture.advance(milliseconds(200));
    REQUIRE(fixture.runUntil([&] { return caller.has("HTTP/1.1 "); }));
    CHECK(caller.received.find("HTTP/1.1 ", 1) == std::string::npos);
}

TEST_CASE("a limit is announced to all daemons, and its grantor is told it before it is asked")
{
    TargetLimitFixture fixture;
    fixture.joinFleet();
    fixture.learn("2");
    REQUIRE(fixture.messages.announced.size() == 1);
    const auto *announced = std::get_if<TargetLimitNotice>(&fixture.messages.announced.front());
    REQUIRE(announced);
    CHECK(announced->thousandthsPerSecond == 2000);
    CHECK(announced->isAnnouncement);
    fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return fixture.messages.sent.size() >= 2; }));
    CHECK(std::holds_alternative<TargetLimitNotice>(fixture.messages.sent.at(0)));
    CHECK(std::holds_alternative<UnitsRequest>(fixture.messages.sent.at(1)));
}

TEST_CASE("a request is refused with a time to return if no target's limit has a unit in time")
{
    TargetLimitFixture fixture;
    fixture.learn("0.2");
    RecordingConnection &caller = fixture.send("a");
    fixture.runPendingEvents();
    fixture.advance(milliseconds(400));
    REQUIRE(fixture.runUntil([&] { return caller.has("HTTP/1.1 503 "); }));
    CHECK(caller.has("Retry-After: "));
    CHECK(fixture.target(0).requests() == 1);
}

namespace {

struct BrittleFixture : TargetLimitFixture
{
    BrittleFixture()
    {
        gateway.setLimitMessenger(messages);
        gateway.targets().setShareMembers({0, 1}, Duration::zero(), clock.now());
        gateway.targets().setShareMembers({0, 1}, Duration::zero(), clock.now());
    }
    std::size_t announced(const LimitMessage &message) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(messages.announced, [&](const LimitMessage &each) {
                return each.index() == message.index();
            }));
    }
    void becomeBrittle()
    {
        RecordingConnection &caller = send("brittle");
        ScriptedTarget *target = waitForTarget();
        REQUIRE(target);
        answer(*target,
               "HTTP/1.1 200 OK\r\nId: brittle\r\nSigned: yes\r\nBrittle: 3\r\n"
               "Content-Length: 2\r\n\r\nok");
        REQUIRE(runUntil([&] { return caller.has("ok"); }));
    }
};

} // namespace

TEST_CASE("a target that says it is brittle is announced, and gets this daemon's share at once")
{
    BrittleFixture fixture;
    fixture.becomeBrittle();
    CHECK(fixture.announced(BrittlenessNotice()) == 1);
    CHECK(fixture.log.count(GatewayEvent::TargetBrittle) == 1);
    for (const std::string id : {"a", "b", "c", "d"})
        fixture.send(id);
    fixture.runPendingEvents();
    // Two of the target's four slots are this daemon's.
    CHECK(fixture.target(0).requests() == 3);
}

TEST_CASE("a rejection by a brittle target is told to all daemons, which leave it alone")
{
    BrittleFixture fixture;
    fixture.becomeBrittle();
    RecordingConnection &caller = fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return fixture.target(0).requests() == 2; }));
    fixture.answer(fixture.target(0),
                   "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nBrittle: 3\r\n"
                   "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(fixture.announced(TargetFullNotice()) == 1);
    fixture.send("b");
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 2);
}
