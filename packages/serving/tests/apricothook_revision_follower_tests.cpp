#include "apricothook_state_bench.hpp"

#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>
#include <apricothook/serving/apricothook_revision_follower.hpp>
#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** A daemon that hears nothing from its source, and a peer that has all. */
struct FollowerBench : StateBench
{
    ItemReplica peer {[](const ItemChange &) { return true; }};
    std::unique_ptr<SmallHttpServer> server
        = SmallHttpServer::open(loop, {"127.0.0.1", 0}, [this](const RequestHead &request) {
              ++asked;
              SmallAnswer answer;
              if (isBroken)
                  answer.status = 500;
              else
                  answer.body = writeItemUpdate(peer.since(*requestedRevision(request.target)));
              return answer;
          }).value();
    RevisionFollower follower {loop, state, log};
    bool isBroken = false;
    int asked = 0;

    MemberInfo brief() const
    {
        MemberInfo brief;
        brief.member = MemberId("peer");
        brief.itemAddress = {"127.0.0.1", server->port()};
        return brief;
    }
    void hear() { follower.note(brief(), peer.revision()); }
    /** Lets the loop and the fetcher work until it is so; no verdict depends on the limit. */
    bool becomes(const std::function<bool()> &isTrue)
    {
        constexpr int MostRounds = 5000;
        for (int round = 0; round < MostRounds && !isTrue(); ++round)
            loop.runOnce(std::chrono::milliseconds(1));
        return isTrue();
    }
};

} // namespace

TEST_CASE("a daemon that its source turns away gets a configuration from a peer")
{
    // Callers are served by the new configuration on every daemon. The source answers others but
    // not this one; a peer's beacon shows a later revision, and after a moment the peer is asked.
    FollowerBench bench;
    bench.write("c", "1");
    bench.peer.apply({{{"c", "2", 7}}, true, 7});
    bench.hear();
    CHECK(bench.asked == 0);
    bench.pass(RevisionFollower::OwnSourceTime);
    bench.hear();
    CHECK(bench.becomes([&] { return bench.state.replica().revision() == 7; }));
    CHECK(bench.asked == 1);
}

TEST_CASE("a peer that answers with nonsense leaves the next one to be asked")
{
    FollowerBench bench;
    bench.write("c", "1");
    bench.peer.apply({{{"c", "2", 7}}, true, 7});
    bench.isBroken = true;
    bench.hear();
    bench.pass(RevisionFollower::OwnSourceTime);
    bench.hear();
    CHECK(bench.becomes([&] { return bench.asked == 1; }));
    bench.isBroken = false;
    CHECK(bench.becomes([&] {
        bench.clock.advance(std::chrono::milliseconds(10));
        bench.hear();
        return bench.state.replica().revision() == 7;
    }));
}

TEST_CASE("a daemon whose peers don't give what they have is stuck until it has it")
{
    // Callers are served by the new configuration though the reader of the cell can't pass it on:
    // its link is too small for a dozen daemons that ask for thousands of entries. Who is stuck
    // reads at the source.
    FollowerBench bench;
    bench.follower.setReads(false);
    bench.write("c", "1");
    bench.peer.apply({{{"c", "2", 7}}, true, 7});
    bench.isBroken = true;
    bench.hear();
    CHECK(bench.becomes([&] { return bench.asked == 1; }));
    CHECK_FALSE(bench.follower.isStuck());
    bench.pass(RevisionFollower::PeerTime + std::chrono::milliseconds(1));
    bench.hear();
    CHECK(bench.follower.isStuck());
    bench.state.apply(bench.peer.since(1));
    CHECK_FALSE(bench.follower.isStuck());
}
