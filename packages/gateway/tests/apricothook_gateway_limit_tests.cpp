#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

#include <variant>

using namespace Apricothook;

namespace {

/** Records the requests for units that the daemon sends to other daemons. */
class RecordingMessenger : public LimitMessenger
{
public:
    void send(const Endpoint &to, const LimitMessage &message) override
    {
        if (const auto *ask = std::get_if<UnitsRequest>(&message))
            asks.emplace_back(to, *ask);
    }
    void broadcast(const LimitMessage &) override { }

    std::vector<std::pair<Endpoint, UnitsRequest>> asks;
};

/** A gateway with a customer whose grantor is another daemon. */
struct LimitFixture : GatewayFixture
{
    LimitFixture()
    {
        ServingConfiguration limited = configuration();
        limited.generation = Generation(2);
        CustomerRule carrier;
        carrier.name = CustomerId("carrier");
        carrier.keys = {"secret"};
        carrier.ratePerSecond = 100;
        carrier.burst = 100;
        limited.customers = {carrier};
        gateway.setLimitMessenger(messages);
        gateway.setConfiguration(std::make_shared<const RouteTable>(limited));
        gateway.limits().setFleet({.members = {{Grantor, 100, false}},
                                   .known = 2,
                                   .isComplete = true,
                                   .startedTogether = std::nullopt},
                                  clock.now());
    }
    RecordingConnection &send(const std::string &id)
    {
        RecordingConnection &caller = connect();
        caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nKey: secret\r\nId: " + id
                           + "\r\n\r\n");
        return caller;
    }
    /** Waits for a request for units and answers it. */
    bool answer(UnitsOutcome outcome)
    {
        if (!runUntil([&] { return !messages.asks.empty(); }))
            return false;
        UnitsReply told;
        told.member = Grantor.member;
        told.requestId = messages.asks.front().second.requestId;
        told.outcome = outcome;
        told.units = outcome == UnitsOutcome::Granted ? 1 : 0;
        told.waitMs = 700;
        gateway.limits().take(told, clock.now());
        return true;
    }

    const LimitPeer Grantor {7, {"10.0.0.7", 1}};
    RecordingMessenger messages;
};

} // namespace

TEST_CASE("a request runs only after the customer's grantor has granted units")
{
    LimitFixture fixture;
    fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return !fixture.messages.asks.empty(); }));
    CHECK(fixture.messages.asks.front().first == fixture.Grantor.address);
    CHECK(fixture.messages.asks.front().second.units == 1);
    CHECK(fixture.target(0).requests() == 0);
    REQUIRE(fixture.answer(UnitsOutcome::Granted));
    CHECK(fixture.waitForTarget());
}

TEST_CASE("a caller over its customer's limit gets 429 with the grantor's Retry-After")
{
    LimitFixture fixture;
    RecordingConnection &caller = fixture.send("a");
    REQUIRE(fixture.answer(UnitsOutcome::Refused));
    REQUIRE(fixture.runUntil([&] { return caller.has("HTTP/1.1 429 "); }));
    CHECK(caller.has("Retry-After: 700000\r\n"));
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a caller gets 503 instead of 429 if no grantor responds")
{
    // The grantor is dead. Without an overshoot the daemon has no credit to admit requests on its
    // own, and a request without units must not run. Whether the customer is over its limit is
    // unknown, so the response is 503 (not run).
    LimitFixture fixture;
    for (int id = 0; id < 40; ++id)
        fixture.send("a" + std::to_string(id));
    RecordingConnection &last = fixture.send("last");
    fixture.runPendingEvents();
    for (int round = 0; round < 8; ++round) {
        fixture.clock.advance(FleetRateLimiter::AnswerTime);
        fixture.runPendingEvents();
    }
    REQUIRE(fixture.runUntil([&] { return last.has("HTTP/1.1 "); }));
    CHECK(last.has("HTTP/1.1 503 "));
    CHECK(last.has("Retry-After: "));
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a caller that disconnects while its request waits for units leaves no state behind")
{
    // The units are granted after the disconnect. Nothing may run, and the next request is served.
    LimitFixture fixture;
    RecordingConnection &caller = fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return !fixture.messages.asks.empty(); }));
    caller.socket.abort();
    REQUIRE(fixture.runUntil([&] { return fixture.gateway.openRequests() == 0; }));
    REQUIRE(fixture.answer(UnitsOutcome::Granted));
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 0);
    fixture.messages.asks.clear();
    fixture.send("b");
    REQUIRE(fixture.answer(UnitsOutcome::Granted));
    CHECK(fixture.waitForTarget());
}
