#pragma once

#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <apricothook_scripted_peers.hpp>
#include <apricothook_test_dialect.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** Keeps the numbers of all events. */
class EventNumbers : public LogWriter
{
public:
    void write(const LogEvent &event) override { numbers.push_back(event.number()); }
    std::size_t count(GatewayEvent event) const;

    std::vector<int> numbers;
};

/** Always the same; a route's first service gets everything. */
class FixedRandom : public RandomSource
{
public:
    std::uint64_t next() override { return 0; }
};

/**
 * A gateway with scripted targets and callers on one loop. The clock stands still unless a test
 * moves it, so that time limits pass without waiting.
 */
class GatewayBench
{
public:
    /** `targets` targets of the service "s". */
    explicit GatewayBench(std::size_t targets = 1);

    /** A route "/ID/" of its own for each kind; names are the prefixes without slashes. */
    static ServingConfiguration configuration();
    /** Runs the loop until `done`; false when that doesn't come. */
    bool until(const std::function<bool()> &done);
    /** Runs the loop until nothing has happened for some rounds. */
    void settle();
    HeldConnection &connect();
    /** A GET for the route, or with a body a POST. */
    static std::string request(const std::string &route, const std::string &id,
                               const std::string &body = {});
    ScriptedTarget &target(std::size_t index) { return *targets.at(index); }
    /** The target that got the `count`-th request, once it is there. */
    ScriptedTarget *targetWith(std::size_t count = 1);

    ManualClock clock;
    EventLoop loop {clock};
    TestDialect dialect;
    FixedRandom random;
    EventNumbers log;
    Metrics metrics;
    FleetBounds bounds;
    Gateway gateway;
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::unique_ptr<HeldConnection>> callers;
};

/** A signed 200 answer with a length. */
std::string wholeAnswer(const std::string &id, const std::string &body);
/** The head of a signed stream in chunks. */
std::string streamHead(const std::string &id);
/** One event as a chunk. */
std::string eventChunk(unsigned id);

} // namespace Apricothook
