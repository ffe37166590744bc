#include "apricothook_published_state_fixture.hpp"
#include "apricothook_slow_http_server.hpp"

#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>
#include <apricothook/serving/apricothook_revision_follower.hpp>
#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** A daemon whose source delivers nothing, and a peer that has all items. */
struct RevisionFollowerFixture : PublishedStateFixture
{
    ItemReplica peer {[](const ItemChange &) { return true; }};
    std::unique_ptr<SimpleHttpServer> server
        = SimpleHttpServer::open(loop, {"127.0.0.1", 0}, [this](const RequestHead &request) {
              ++requests;
              SimpleHttpResponse response;
              if (isFailing)
                  response.status = 500;
              else
                  response.body = writeItemUpdate(peer.since(*requestedRevision(request.target)));
              return response;
          }).value();
    RevisionFollower follower {loop, state, log};
    bool isFailing = false;
    int requests = 0;

    MemberInfo info() const
    {
        MemberInfo info;
        info.member = MemberId("peer");
        info.itemAddress = {"127.0.0.1", server->port()};
        return info;
    }
    void reportPeerRevision() { follower.recordPeerRevision(info(), peer.revision()); }
    /** Runs the loop until `isTrue` holds. The limit only ends a failing test. */
    bool waitUntil(const std::function<bool()> &isTrue)
    {
        constexpr int MaximumRounds = 5000;
        for (int round = 0; round < MaximumRounds && !isTrue(); ++round)
            loop.runOnce(std::chrono::milliseconds(1));
        return isTrue();
    }
};

} // namespace

TEST_CASE("a daemon that its source refuses gets a configuration from a peer")
{
    // Guards against an outdated configuration on a daemon that the source refuses while it serves
    // others. A peer's heartbeat shows a later revision, and the peer is queried after
    // OwnSourceTimeout.
    RevisionFollowerFixture fixture;
    fixture.publish("c", "1");
    fixture.peer.apply({{{"c", "2", 7}}, true, 7});
    fixture.reportPeerRevision();
    CHECK(fixture.requests == 0);
    fixture.pass(RevisionFollower::OwnSourceTimeout);
    fixture.reportPeerRevision();
    CHECK(fixture.waitUntil([&] { return fixture.state.replica().revision() == 7; }));
    CHECK(fixture.requests == 1);
}

TEST_CASE("an invalid response from a peer doesn't prevent the next fetch")
{
    RevisionFollowerFixture fixture;
    fixture.publish("c", "1");
    fixture.peer.apply({{{"c", "2", 7}}, true, 7});
    fixture.isFailing = true;
    fixture.reportPeerRevision();
    fixture.pass(RevisionFollower::OwnSourceTimeout);
    fixture.reportPeerRevision();
    CHECK(fixture.waitUntil([&] { return fixture.requests == 1; }));
    fixture.isFailing = false;
    CHECK(fixture.waitUntil([&] {
        fixture.clock.advance(std::chrono::milliseconds(10));
        fixture.reportPeerRevision();
        return fixture.state.replica().revision() == 7;
    }));
}

TEST_CASE("a daemon is stuck while its peers don't deliver a later revision")
{
    // Guards against an outdated configuration when the reader of the cell can't pass it on, as its
    // link is too small for a dozen daemons that request thousands of entries. A daemon that is
    // stuck reads at the source itself.
    RevisionFollowerFixture fixture;
    fixture.follower.setReadsSource(false);
    fixture.publish("c", "1");
    fixture.peer.apply({{{"c", "2", 7}}, true, 7});
    fixture.isFailing = true;
    fixture.reportPeerRevision();
    CHECK(fixture.waitUntil([&] { return fixture.requests == 1; }));
    CHECK_FALSE(fixture.follower.isStuck());
    fixture.pass(RevisionFollower::PeerTimeout + std::chrono::milliseconds(1));
    fixture.reportPeerRevision();
    CHECK(fixture.follower.isStuck());
    fixture.state.apply(fixture.peer.since(1));
    CHECK_FALSE(fixture.follower.isStuck());
}

TEST_CASE("a large update that a peer sends slowly but steadily is received")
{
    // Guards against fetches that are aborted at a time limit and repeated for ever, as the update
    // needs longer than that on a small link.
    RevisionFollowerFixture fixture;
    fixture.follower.setReadsSource(false);
    fixture.publish("c", "1");
    fixture.peer.apply({{{"c", "2", 7}, {"large", std::string(200'000, 'x'), 7}}, true, 7});
    SlowHttpServer peer(fixture.loop, [&] { return writeItemUpdate(fixture.peer.since(1)); });
    MemberInfo info = fixture.info();
    info.itemAddress.port = peer.port();
    fixture.follower.recordPeerRevision(info, 7);
    CHECK(fixture.waitUntil([&] {
        constexpr std::size_t BytesPerMillisecond = 100;
        peer.sendMore(BytesPerMillisecond);
        return fixture.state.replica().revision() == 7;
    }));
    CHECK(peer.requests() == 1);
}

TEST_CASE("a fetch from a peer that stops sending ends, and another peer is asked")
{
    // Guards against a daemon that waits for the rest of a response that never comes.
    RevisionFollowerFixture fixture;
    fixture.follower.setReadsSource(false);
    fixture.publish("c", "1");
    fixture.peer.apply({{{"c", "2", 7}}, true, 7});
    SlowHttpServer stalling(fixture.loop, [&] { return writeItemUpdate(fixture.peer.since(1)); });
    MemberInfo info = fixture.info();
    info.itemAddress.port = stalling.port();
    fixture.follower.recordPeerRevision(info, 7);
    CHECK(fixture.waitUntil([&] { return stalling.requests() == 1; }));
    constexpr std::size_t PartOfResponse = 50;
    stalling.sendMore(PartOfResponse);
    CHECK(fixture.waitUntil([&] {
        fixture.clock.advance(std::chrono::milliseconds(10));
        fixture.reportPeerRevision();
        return fixture.state.replica().revision() == 7;
    }));
    CHECK(stalling.requests() == 1);
}
