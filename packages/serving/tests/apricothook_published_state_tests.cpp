#include "apricothook_state_bench.hpp"
#include <apricothook/serving/apricothook_lookup_policy.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a removed target gets nothing more at once")
{
    StateBench bench;
    bench.write("t/a", "ready");
    CHECK(bench.has("a"));
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("targets whose entries lapse while the source is away are kept until they could return")
{
    // Callers are served on. All entries lapse during an outage; the targets live and register
    // again within two seconds of its end. One that doesn't is gone.
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("t/b", "ready");
    bench.setSource(SourceState::Reachable);
    bench.setSource(SourceState::Unreachable);
    bench.pass(std::chrono::seconds(5));
    bench.setSource(SourceState::Reachable);
    bench.write("t/a", std::nullopt);
    bench.write("t/b", std::nullopt);
    CHECK(bench.has("a"));
    CHECK(bench.has("b"));
    bench.pass(std::chrono::milliseconds(1900));
    bench.write("t/a", "ready");
    bench.pass(std::chrono::milliseconds(700));
    CHECK(bench.has("a"));
    CHECK_FALSE(bench.has("b"));
}

TEST_CASE("a removal is true while another daemon of the cell reaches the source")
{
    // Callers aren't sent to a target that left unannounced. The source turns this VM away but not
    // others, so it was up all the while and no entry lapsed for want of it.
    StateBench bench;
    bench.write("t/a", "ready");
    bench.state.setSourceState(SourceState::Refusing);
    bench.state.noteSource({.anyReachable = true, .anyFailed = true});
    bench.pass(std::chrono::seconds(3));
    bench.state.noteSource({.anyReachable = true, .anyFailed = true});
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("a daemon that leaves reading to others holds removals after an outage that they saw")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.state.noteSource({.anyReachable = false, .anyFailed = true});
    bench.pass(std::chrono::seconds(3));
    bench.state.noteSource({.anyReachable = true, .anyFailed = true});
    bench.write("t/a", std::nullopt);
    CHECK(bench.has("a"));
    bench.pass(SourceOutage::ReregistrationTime);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("a moment in which both readers were turned away isn't taken for an outage")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.state.noteSource({.anyReachable = false, .anyFailed = true});
    bench.pass(std::chrono::milliseconds(400));
    bench.state.noteSource({.anyReachable = true, .anyFailed = true});
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("a target that had announced its leaving is gone even after an outage")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.setSource(SourceState::Unreachable);
    bench.write("t/a", "draining");
    bench.setSource(SourceState::Reachable);
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("a configuration never goes back, and a bad one changes nothing")
{
    StateBench bench;
    CHECK_FALSE(bench.state.hasConfiguration());
    bench.write("c", "bad");
    CHECK_FALSE(bench.state.hasConfiguration());
    bench.write("c", "7");
    CHECK(bench.state.hasConfiguration());
    bench.write("c", "3");
    bench.write("c", "bad");
    bench.write("t/a", "bad");
    CHECK_FALSE(bench.has("a"));
    CHECK(bench.state.replica().revision() == 5);
}

TEST_CASE("an entry that can't be read takes the target out that it replaces, and no other")
{
    // Callers aren't sent to an address that nobody vouches for. Another writer puts bytes in place
    // of a target's entry; the target is out until it registers again, its neighbour serves on.
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("t/b", "ready");
    bench.write("t/a", "bad");
    CHECK_FALSE(bench.has("a"));
    CHECK(bench.has("b"));
    bench.write("t/a", "ready");
    CHECK(bench.has("a"));
}

TEST_CASE("an unreadable entry after an outage isn't held like a lapsed one")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.setSource(SourceState::Unreachable);
    bench.pass(std::chrono::seconds(3));
    bench.setSource(SourceState::Reachable);
    bench.write("t/a", std::nullopt);
    CHECK(bench.has("a"));
    bench.write("t/a", "bad");
    CHECK_FALSE(bench.has("a"));
    // The held removal must not strike the target when it is back.
    bench.write("t/a", "ready");
    bench.pass(SourceOutage::ReregistrationTime);
    CHECK(bench.has("a"));
}

TEST_CASE("an older write of a target that is leaving doesn't bring it back")
{
    // Callers' requests are cut off when the target ends. It writes that it is ready, the write is
    // held up on its way, and it writes that it is leaving. Then the older write takes effect, with
    // a later revision, and daemons that go by the revision send it requests until it is gone: they
    // log TargetChanged with ready and sequence 6 after draining and sequence 8.
    StateBench bench;
    bench.write("t/a", "ready#5");
    bench.write("t/a", "draining#8");
    bench.write("t/a", "ready#6");
    CHECK_FALSE(bench.isOffered("a"));
    bench.write("t/a", std::nullopt);
    bench.write("t/a", "ready#7");
    CHECK_FALSE(bench.isOffered("a"));
    // Its own newer word counts, and so does that of its next start.
    bench.write("t/a", "ready#9");
    CHECK(bench.isOffered("a"));
    bench.write("t/a", "draining#10");
    bench.write("t/a", "ready@77#1");
    CHECK(bench.isOffered("a"));
}

TEST_CASE("an entry without a start that its target always told comes from another writer")
{
    StateBench bench;
    bench.write("t/a", "ready@5");
    bench.write("t/a", "ready");
    CHECK_FALSE(bench.has("a"));
    bench.write("t/a", "ready@6");
    CHECK(bench.gateway.targets().find(TargetId("a"))->entry.startedAt == 6);
}

TEST_CASE("callers are sent to ready entries near them")
{
    const std::map<DataCentreId, RegionId> regions {{DataCentreId("a"), RegionId("r")},
                                                    {DataCentreId("b"), RegionId("r")},
                                                    {DataCentreId("c"), RegionId("q")}};
    const auto entry = [](std::uint16_t port, const std::string &dataCentre) {
        return LookupEntry {{"10.0.0.1", port}, DataCentreId(dataCentre)};
    };
    const LookupQuestion question {RegionId("r"), DataCentreId("a")};
    using Ports = std::vector<Endpoint>;
    CHECK(nearEntries({entry(1, "a"), entry(2, "a"), entry(3, "b")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 2}});
    CHECK(nearEntries({entry(1, "a"), entry(3, "b"), entry(4, "c")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 3}});
    CHECK(nearEntries({entry(1, "a"), entry(4, "c")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 4}});
    CHECK(nearEntries({}, regions, question).empty());
}

TEST_CASE("an evacuation is in force while its item is there, whatever the item holds")
{
    // An operator empties a data centre for repairs, and requests still reach it.
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("e/d", "\xff");
    CHECK_FALSE(bench.takesWork("a"));
    // A target that registers meanwhile gets nothing either.
    bench.write("t/b", "ready");
    CHECK_FALSE(bench.takesWork("b"));
    bench.write("e/d", std::nullopt);
    CHECK(bench.takesWork("a"));
    CHECK(bench.takesWork("b"));
}

TEST_CASE("several data centres can be evacuated at once")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("e/d", "{}");
    bench.write("e/other", "{}");
    bench.write("e/other", std::nullopt);
    CHECK_FALSE(bench.takesWork("a"));
}

TEST_CASE("an older word of an evacuation doesn't change a newer one")
{
    // Requests reach an evacuated data centre, or it stays empty for good: a peer that was cut off
    // tells late what it knew, or a listing was made before the change.
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("e/d", "{}");
    bench.write("e/d", std::nullopt);
    bench.state.apply({{{"e/d", "{}", 2}}, false, 2});
    CHECK(bench.takesWork("a"));
    bench.write("e/d", "{}");
    bench.state.apply({{{"t/a", "ready", 1}}, true, 3});
    CHECK_FALSE(bench.takesWork("a"));
}

TEST_CASE("an evacuation that ended in a gap of the history ends with the next listing")
{
    StateBench bench;
    bench.write("t/a", "ready");
    bench.write("e/d", "{}");
    bench.state.apply({{{"t/a", "ready", 1}}, true, 9});
    CHECK(bench.takesWork("a"));
}

TEST_CASE("a daemon knows of an evacuation before it may send anything")
{
    // A daemon that starts during an evacuation hears everything in one listing, in whatever order.
    StateBench bench;
    bench.state.apply({{{"t/a", "ready", 1}, {"c", "3", 4}, {"e/d", "{}", 2}}, true, 5});
    CHECK(bench.has("a"));
    CHECK_FALSE(bench.takesWork("a"));
}

TEST_CASE("an entry that changes nothing but its sequence is no news")
{
    // Each target writes its entry anew every second. That it leaves, or comes, or is cold again
    // is told to all; that it lives only by its being there.
    StateBench bench;
    bench.write("c", "1");
    bench.write("t/a", "ready#1");
    const Revision known = bench.state.replica().relevantRevision();
    bench.write("t/a", "ready#2");
    bench.write("t/a", "ready#3");
    CHECK(bench.state.replica().relevantRevision() == known);
    // The sequence is kept: an older write that comes late is told by it.
    bench.write("t/a", "draining#4");
    CHECK(bench.state.replica().relevantRevision() == bench.revision);
    bench.write("t/a", "draining#5");
    CHECK(bench.state.replica().relevantRevision() == bench.revision - 1);
    bench.write("t/a", "ready#4");
    CHECK_FALSE(bench.isOffered("a"));
    bench.write("t/a", std::nullopt);
    CHECK(bench.state.replica().relevantRevision() == bench.revision);
}
