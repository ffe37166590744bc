#include <apricothook/serving/apricothook_peer_item_responses.hpp>

#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>
#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace Apricothook;

namespace {

/** A replica with a configuration of many similar routes. */
struct PeerItemResponsesFixture
{
    ItemReplica replica {[](const ItemChange &) { return true; }};
    PeerItemResponses responses {replica};

    PeerItemResponsesFixture()
    {
        constexpr int Routes = 1400;
        std::string configuration;
        for (int route = 0; route < Routes; ++route)
            configuration += R"({"Name":"r-)" + std::to_string(route * 7919) + R"("},)";
        replica.apply({{{"c", configuration, 5}}, true, 5});
    }
};

} // namespace

TEST_CASE("a large response to a peer is compressed")
{
    // Guards against a reader whose link is filled by the same configuration for a dozen peers.
    PeerItemResponsesFixture fixture;
    const SimpleHttpResponse plain = fixture.responses.respond(0, false);
    const SimpleHttpResponse compressed = fixture.responses.respond(0, true);
    CHECK(plain.contentEncoding.empty());
    CHECK(compressed.contentEncoding == "gzip");
    CHECK(compressed.body.size() < plain.body.size() / 4);
    CHECK(parseItemUpdate(plain.body).value() == fixture.replica.since(0));
}

TEST_CASE("a small response to a peer isn't compressed")
{
    PeerItemResponsesFixture fixture;
    fixture.replica.apply({{{"t", "ready", 6}}, false, 6});
    const SimpleHttpResponse response = fixture.responses.respond(5, true);
    CHECK(response.contentEncoding.empty());
    CHECK(parseItemUpdate(response.body).value() == fixture.replica.since(5));
}

TEST_CASE("a response to a peer shows the changes since the previous one")
{
    PeerItemResponsesFixture fixture;
    const std::string before = fixture.responses.respond(0, true).body;
    CHECK(fixture.responses.respond(0, true).body == before);
    fixture.replica.apply({{{"t", "ready", 6}}, false, 6});
    CHECK(fixture.responses.respond(0, true).body != before);
}

TEST_CASE("a peer's client receives a compressed response as it was written")
{
    PeerItemResponsesFixture fixture;
    const ManualClock clock;
    EventLoop loop(clock);
    const auto server
        = SimpleHttpServer::open(loop, {"127.0.0.1", 0}, [&](const RequestHead &request) {
              return fixture.responses.respond(0, acceptsGzip(request));
          }).value();
    const std::atomic<bool> isStopping = false;
    std::future<Transfer> received = std::async(std::launch::async, [&] {
        constexpr std::chrono::milliseconds Limit {5000};
        BlockingHttpClient client({"127.0.0.1", server->port()}, Limit, isStopping);
        client.acceptGzip();
        return client.get("/", {Limit, Limit});
    });
    while (received.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        loop.runOnce(std::chrono::milliseconds(1));
    const Transfer transfer = received.get();
    CHECK(transfer.response->body == writeItemUpdate(fixture.replica.since(0)));
    CHECK(transfer.record.bytes < transfer.response->body.size() / 4);
}
