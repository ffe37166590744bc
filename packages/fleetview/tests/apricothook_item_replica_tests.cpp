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

struct Told
{
    std::vector<ItemChange> changes;
    /** Values that tell peers nothing. */
    std::string beat = "beat";
    ItemReplica replica {[this](const ItemChange &change) {
        changes.push_back(change);
        return change.value != beat;
    }};
};

} // namespace

TEST_CASE("a change is told once, whatever source tells it again")
{
    Told told;
    told.replica.apply({{written("a", "1", 5)}, false, 5});
    told.replica.apply({{written("a", "1", 5)}, false, 5});
    told.replica.apply({{written("a", "0", 4)}, false, 4});
    CHECK(told.changes == std::vector<ItemChange> {written("a", "1", 5)});
    CHECK(told.replica.revision() == 5);
}

TEST_CASE("a removed item isn't brought back by an older copy")
{
    // A target that left gets no new requests. Its removal was heard from the source; a peer that
    // lags behind still tells the entry.
    Told told;
    told.replica.apply({{written("a", "1", 5)}, false, 5});
    told.replica.apply({{{"a", std::nullopt, 8}}, false, 8});
    told.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    CHECK(told.changes.size() == 3);
    CHECK(told.changes.back() == written("b", "2", 6));
}

TEST_CASE("what a whole listing lacks was removed in the gap")
{
    // The source forgot its history while a target left. The listing after the gap shows it by the
    // entry's absence; an entry that is newer than the listing stays.
    Told told;
    told.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    told.replica.apply({{written("c", "3", 20)}, false, 20});
    told.replica.apply({{written("b", "2", 6)}, true, 12});
    CHECK(told.changes.back() == ItemChange {"a", std::nullopt, 12});
    CHECK(told.changes.size() == 4);
}

TEST_CASE("a peer gets what it lacks, or everything")
{
    Told told;
    told.replica.apply({{written("a", "1", 5), written("b", "2", 6)}, true, 6});
    told.replica.apply({{written("c", "3", 9)}, false, 9});
    told.replica.apply({{{"a", std::nullopt, 10}}, false, 10});
    const ItemUpdate some = told.replica.since(9);
    CHECK_FALSE(some.isSnapshot);
    CHECK(some.changes == std::vector<ItemChange> {{"a", std::nullopt, 10}});
    const ItemUpdate all = told.replica.since(2);
    CHECK(all.isSnapshot);
    CHECK(all.changes.size() == 2);
    CHECK(told.replica.since(0).isSnapshot);

    Told peer;
    peer.replica.apply(all);
    CHECK(peer.replica.revision() == 10);
    peer.replica.apply(parseItemUpdate(writeItemUpdate(some)).value());
    CHECK(peer.replica.since(0) == told.replica.since(0));
}

TEST_CASE("peers aren't told of a change that only says that a target lives")
{
    // Daemons of a large fleet spend their links on entries that say the same again. What a peer
    // lacks is told whole, with the latest word of each item.
    Told told;
    told.replica.apply({{written("a", "1", 5), written("b", "1", 6)}, true, 6});
    CHECK(told.replica.relevantRevision() == 0);
    CHECK(told.replica.advertisedRevision() == 6);
    told.replica.apply({{written("a", told.beat, 7)}, false, 7});
    CHECK(told.replica.revision() == 7);
    CHECK(told.replica.relevantRevision() == 0);
    CHECK(told.replica.since(6).changes.empty());
    told.replica.apply({{written("b", "2", 8)}, false, 8});
    CHECK(told.replica.relevantRevision() == 8);
    CHECK(told.replica.since(6).changes == std::vector<ItemChange> {written("b", "2", 8)});
    CHECK(told.replica.since(0).changes
          == std::vector<ItemChange> {written("a", told.beat, 7), written("b", "2", 8)});
}

TEST_CASE("a long history is cut and answered with everything")
{
    Told told;
    told.replica.apply({{written("a", "1", 1)}, true, 1});
    for (Revision revision = 2; revision < 2 * ItemReplica::KeptChanges; ++revision)
        told.replica.apply({{written("a", std::to_string(revision), revision)}, false, revision});
    CHECK(told.replica.since(3).isSnapshot);
    CHECK(told.replica.since(3).changes.size() == 1);
    CHECK_FALSE(told.replica.since(2 * ItemReplica::KeptChanges - 10).isSnapshot);
}

TEST_CASE("peers' messages about items are checked")
{
    CHECK(requestedRevision(peerItemsPath(17)) == Revision(17));
    CHECK_FALSE(requestedRevision("/items?after=x"));
    CHECK_FALSE(requestedRevision("/metrics"));
    for (const std::string text : {"", "[]", "{}", R"({"revision":1,"whole":true,"changes":[{}]})",
                                   R"({"revision":-1,"whole":true,"changes":[]})"})
        CHECK_FALSE(parseItemUpdate(text));
}
