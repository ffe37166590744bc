#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace Apricothook;

namespace {

ItemChange written(const std::string &key, const std::string &value, Revision revision)
{
    return {key, value, revision};
}

struct RecordingReplica
{
    std::vector<ItemChange> changes;
    /** Value of a write that is insignificant to peers. */
    std::string heartbeat = "beat";
    ItemReplica replica {[this](const ItemChange &change) {
        changes.push_back(change);
        return change.value != heartbeat;
    }};
};

} // namespace

TEST_CASE("a change is reported once, even if it is received repeatedly")
{
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 5)}, false, 5});
    recorder.replica.apply({{written("a", "1", 5)}, false, 5});
    recorder.replica.apply({{written("a", "0", 4)}, false, 4});
    CHECK(recorder.changes == std::vector<ItemChange> {written("a", "1", 5)});
    CHECK(recorder.replica.revision() == 5);
}

TEST_CASE("a removed item isn't restored by an older copy")
{
    // The removal of a target has been received from the source, but a peer that lags behind still
    // sends its entry. The target must get no new requests.
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 5)}, false, 5});
    recorder.replica.apply({{{"a", std::nullopt, 8}}, false, 8});
    recorder.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    CHECK(recorder.changes.size() == 3);
    CHECK(recorder.changes.back() == written("b", "2", 6));
}

TEST_CASE("items missing from a complete listing are removed")
{
    // A target leaves, and the source has dropped that part of its history. The complete listing
    // that is read instead no longer contains the entry. Entries newer than the listing must stay.
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    recorder.replica.apply({{written("c", "3", 20)}, false, 20});
    recorder.replica.apply({{written("b", "2", 6)}, true, 12});
    CHECK(recorder.changes.back() == ItemChange {"a", std::nullopt, 12});
    CHECK(recorder.changes.size() == 4);
}

TEST_CASE("a peer gets the changes that it lacks, or all items")
{
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    recorder.replica.apply({{written("c", "3", 9)}, false, 9});
    recorder.replica.apply({{{"a", std::nullopt, 10}}, false, 10});
    const ItemUpdate some = recorder.replica.since(9);
    CHECK_FALSE(some.isSnapshot);
    CHECK(some.changes == std::vector<ItemChange> {{"a", std::nullopt, 10}});
    const ItemUpdate all = recorder.replica.since(2);
    CHECK(all.isSnapshot);
    CHECK(all.changes.size() == 2);
    CHECK(recorder.replica.since(0).isSnapshot);

    RecordingReplica peer;
    peer.replica.apply(all);
    CHECK(peer.replica.revision() == 10);
    peer.replica.apply(parseItemUpdate(writeItemUpdate(some)).value());
    CHECK(peer.replica.since(0) == recorder.replica.since(0));
}

TEST_CASE("heartbeats of targets aren't forwarded to peers")
{
    // Forwarding entries that repeat known values would use up the network links of a large fleet.
    // A peer that requests all items must still get the latest value of each.
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 5), written("b", "1", 6)}, true, 6});
    CHECK(recorder.replica.relevantRevision() == 0);
    CHECK(recorder.replica.advertisedRevision() == 6);
    recorder.replica.apply({{written("a", recorder.heartbeat, 7)}, false, 7});
    CHECK(recorder.replica.revision() == 7);
    CHECK(recorder.replica.relevantRevision() == 0);
    CHECK(recorder.replica.since(6).changes.empty());
    recorder.replica.apply({{written("b", "2", 8)}, false, 8});
    CHECK(recorder.replica.relevantRevision() == 8);
    CHECK(recorder.replica.since(6).changes == std::vector<ItemChange> {written("b", "2", 8)});
    CHECK(recorder.replica.since(0).changes
          == std::vector<ItemChange> {written("a", recorder.heartbeat, 7), written("b", "2", 8)});
}

TEST_CASE("the history is limited, and a peer that is further behind gets all items")
{
    RecordingReplica recorder;
    recorder.replica.apply({{written("a", "1", 1)}, true, 1});
    for (Revision revision = 2; revision < 2 * ItemReplica::HistoryLimit; ++revision)
        recorder.replica.apply(
            {{written("a", std::to_string(revision), revision)}, false, revision});
    CHECK(recorder.replica.since(3).isSnapshot);
    CHECK(recorder.replica.since(3).changes.size() == 1);
    CHECK_FALSE(recorder.replica.since(2 * ItemReplica::HistoryLimit - 10).isSnapshot);
}

TEST_CASE("malformed item requests and updates of peers are rejected")
{
    CHECK(requestedRevision(peerItemsPath(17)) == Revision(17));
    CHECK_FALSE(requestedRevision("/items?after=x"));
    CHECK_FALSE(requestedRevision("/metrics"));
    for (const std::string text : {"", "[]", "{}", R"({"revision":1,"whole":true,"changes":[{}]})",
                                   R"({"revision":-1,"whole":true,"changes":[]})"})
        CHECK_FALSE(parseItemUpdate(text));
}
