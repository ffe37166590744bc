#include <apricothook_gateway_fixture.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr int MaxIterations = 3000;
constexpr int SettleIterations = 30;

RouteRule route(const std::string &name)
{
    RouteRule rule;
    rule.name = ClassId(name);
    rule.host = "host";
    rule.prefix = "/" + name + "/";
    rule.services = {{ServiceId("s"), 1}};
    rule.timeout = std::chrono::seconds(10);
    rule.objective = std::chrono::milliseconds(400);
    rule.gapObjective = std::chrono::milliseconds(300);
    rule.maximumAttempts = 2;
    return rule;
}

FleetBounds testBounds()
{
    FleetBounds bounds;
    bounds.retrySlack = 20;
    return bounds;
}

} // namespace

std::size_t RecordingLog::count(GatewayEvent event) const
{
    return static_cast<std::size_t>(std::ranges::count(numbers, static_cast<int>(event)));
}

GatewayFixture::GatewayFixture(std::size_t count, const CallerResources &callers)
    : bounds(testBounds())
    , gateway(loop, protocol, random, log, metrics, bounds, DataCentreId("here"), {}, {}, callers)
{
    // The gateway's share of the retry budget grows to its full size over one window.
    clock.advance(bounds.retryWindow);
    static_cast<void>(gateway.listen({"127.0.0.1", 0}).value());
    gateway.setConfiguration(std::make_shared<const RouteTable>(configuration()));
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(std::make_unique<ScriptedTarget>(loop));
        TargetEntry entry;
        entry.id = TargetId("t" + std::to_string(i));
        entry.service = ServiceId("s");
        entry.version = TargetVersion("v1");
        entry.address = targets.back()->address();
        entry.dataCentre = DataCentreId("here");
        entry.slots = 4;
        gateway.putTarget(entry);
    }
}

ServingConfiguration GatewayFixture::configuration()
{
    ServingConfiguration configuration;
    configuration.generation = Generation(1);
    RouteRule idempotent = route("idempotent");
    idempotent.isIdempotent = true;
    RouteRule stream = route("stream");
    stream.isStream = true;
    stream.maximumAttempts = 1;
    RouteRule resumable = route("resumable");
    resumable.isStream = true;
    resumable.isResumable = true;
    configuration.routes = {route("once"), idempotent, stream, resumable};
    configuration.services = {{ServiceId("s"), false, 100}};
    configuration.limits.bodyBytes = 2000;
    configuration.limits.headBytes = 1000;
    return configuration;
}

bool GatewayFixture::runUntil(const std::function<bool()> &done)
{
    for (int round = 0; round < MaxIterations; ++round) {
        if (done())
            return true;
        loop.runOnce(std::chrono::milliseconds(1));
    }
    return done();
}

void GatewayFixture::runPendingEvents()
{
    for (int round = 0; round < SettleIterations; ++round)
        loop.runOnce(std::chrono::milliseconds(1));
}

RecordingConnection &GatewayFixture::connect()
{
    callers.push_back(
        std::make_unique<RecordingConnection>(loop, Endpoint {"127.0.0.1", gateway.port()}));
    return *callers.back();
}

std::string GatewayFixture::request(const std::string &route, const std::string &id,
                                    const std::string &body)
{
    const std::string head = (body.empty() ? "GET /" : "POST /") + route
        + "/x HTTP/1.1\r\nHost: host\r\nId: " + id + "\r\n";
    if (body.empty())
        return head + "\r\n";
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedTarget *GatewayFixture::waitForTarget(std::size_t count)
{
    ScriptedTarget *found = nullptr;
    runUntil([&] {
        for (const std::unique_ptr<ScriptedTarget> &each : targets) {
            if (each->requests() >= count)
                found = each.get();
        }
        return found != nullptr;
    });
    return found;
}

std::string signedResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id
        + "\r\nSigned: yes\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id
        + "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
}

std::string eventChunk(unsigned id)
{
    return writeChunk("id: " + std::to_string(id) + "\ndata: token\n\n");
}

bool endsComplete(const RecordingConnection &caller)
{
    return caller.received.ends_with("\r\n" + std::string(LastChunk));
}

} // namespace Apricothook
