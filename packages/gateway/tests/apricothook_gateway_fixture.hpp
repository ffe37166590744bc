#pragma once

#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <apricothook_scripted_peers.hpp>
#include <apricothook_test_protocol.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** Records the numbers of all logged events. */
class RecordingLog : public LogWriter
{
public:
    void write(const LogEvent &event) override { numbers.push_back(event.number()); }
    std::size_t count(GatewayEvent event) const;

    std::vector<int> numbers;
};

/** Always returns zero, which selects a route's first service. */
class FixedRandom : public RandomSource
{
public:
    std::uint64_t next() override { return 0; }
};

/**
 * A gateway with scripted targets and callers on one event loop. Tests advance the clock by hand,
 * so timeouts expire without waiting.
 */
class GatewayFixture
{
public:
    /** Registers `targets` targets for the service "s". */
    explicit GatewayFixture(std::size_t targets = 1,
                            const CallerResources &callers = callerResources({}));

    /** One route per kind; the name of a route is its prefix without the slashes. */
    static ServingConfiguration configuration();
    /** Runs the loop until `done` returns true; false after a bounded number of iterations. */
    bool runUntil(const std::function<bool()> &done);
    /** Runs the loop for a fixed number of iterations, so that pending events are processed. */
    void runPendingEvents();
    RecordingConnection &connect();
    /** A GET request for the route, or a POST request if there is a body. */
    static std::string request(const std::string &route, const std::string &id,
                               const std::string &body = {});
    ScriptedTarget &target(std::size_t index) { return *targets.at(index); }
    /** Waits for a target that has received at least `count` requests; null if there is none. */
    ScriptedTarget *waitForTarget(std::size_t count = 1);

    ManualClock clock;
    EventLoop loop {clock};
    TestProtocol protocol;
    FixedRandom random;
    RecordingLog log;
    Metrics metrics;
    FleetBounds bounds;
    Gateway gateway;
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::unique_ptr<RecordingConnection>> callers;
};

/** A signed 200 response with a Content-Length. */
std::string signedResponse(const std::string &id, const std::string &body);
/** The head of a signed, chunked stream. */
std::string streamHead(const std::string &id);
/** A stream event as one chunk. */
std::string eventChunk(unsigned id);
/** Whether the caller received a chunked response to its end. */
bool endsComplete(const RecordingConnection &caller);

} // namespace Apricothook
