#include "apricothook_published_state_fixture.hpp"
#include <apricothook/serving/apricothook_lookup_policy.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a removed target gets no more requests at once")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    CHECK(fixture.has("a"));
    fixture.publish("t/a", std::nullopt);
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("targets whose entries expire in a source outage are kept until they can register again")
{
    // Guards against a loss of all targets in an outage of the source. Their entries expire, but
    // the targets keep running and register again within two seconds of its end. A target that
    // doesn't is removed.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("t/b", "ready");
    fixture.setSourceState(SourceState::Reachable);
    fixture.setSourceState(SourceState::Unreachable);
    fixture.pass(std::chrono::seconds(5));
    fixture.setSourceState(SourceState::Reachable);
    fixture.publish("t/a", std::nullopt);
    fixture.publish("t/b", std::nullopt);
    CHECK(fixture.has("a"));
    CHECK(fixture.has("b"));
    fixture.pass(std::chrono::milliseconds(1900));
    fixture.publish("t/a", "ready");
    fixture.pass(std::chrono::milliseconds(700));
    CHECK(fixture.has("a"));
    CHECK_FALSE(fixture.has("b"));
}

TEST_CASE("a removal is applied while another daemon of the cell reaches the source")
{
    // Guards against requests to a target that left without draining. The source refuses this VM
    // but not others, so it was available and no entry expired because of an outage.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.state.setSourceState(SourceState::Refusing);
    fixture.state.recordSourceReachability({.anyReachable = true, .anyFailed = true});
    fixture.pass(std::chrono::seconds(3));
    fixture.state.recordSourceReachability({.anyReachable = true, .anyFailed = true});
    fixture.publish("t/a", std::nullopt);
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("a daemon that doesn't read delays removals after an outage reported by the readers")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.state.recordSourceReachability({.anyReachable = false, .anyFailed = true});
    fixture.pass(std::chrono::seconds(3));
    fixture.state.recordSourceReachability({.anyReachable = true, .anyFailed = true});
    fixture.publish("t/a", std::nullopt);
    CHECK(fixture.has("a"));
    fixture.pass(SourceOutage::ReregistrationTime);
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("a short time in which the source refuses both readers isn't an outage")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.state.recordSourceReachability({.anyReachable = false, .anyFailed = true});
    fixture.pass(std::chrono::milliseconds(400));
    fixture.state.recordSourceReachability({.anyReachable = true, .anyFailed = true});
    fixture.publish("t/a", std::nullopt);
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("the removal of a draining target isn't delayed after an outage")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.setSourceState(SourceState::Unreachable);
    fixture.publish("t/a", "draining");
    fixture.setSourceState(SourceState::Reachable);
    fixture.publish("t/a", std::nullopt);
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("older and invalid configurations are ignored")
{
    PublishedStateFixture fixture;
    CHECK_FALSE(fixture.state.hasConfiguration());
    fixture.publish("c", "bad");
    CHECK_FALSE(fixture.state.hasConfiguration());
    fixture.publish("c", "7");
    CHECK(fixture.state.hasConfiguration());
    fixture.publish("c", "3");
    fixture.publish("c", "bad");
    fixture.publish("t/a", "bad");
    CHECK_FALSE(fixture.has("a"));
    CHECK(fixture.state.replica().revision() == 5);
}

TEST_CASE("an undecodable entry removes the target that it replaces, and no other")
{
    // Guards against requests to an address that no valid entry confirms. Another writer overwrites
    // a target's entry; the target is removed until it registers again, and other targets stay.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("t/b", "ready");
    fixture.publish("t/a", "bad");
    CHECK_FALSE(fixture.has("a"));
    CHECK(fixture.has("b"));
    fixture.publish("t/a", "ready");
    CHECK(fixture.has("a"));
}

TEST_CASE("an undecodable entry after an outage removes its target without delay")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.setSourceState(SourceState::Unreachable);
    fixture.pass(std::chrono::seconds(3));
    fixture.setSourceState(SourceState::Reachable);
    fixture.publish("t/a", std::nullopt);
    CHECK(fixture.has("a"));
    fixture.publish("t/a", "bad");
    CHECK_FALSE(fixture.has("a"));
    // The delayed removal must not remove the target after it has registered again.
    fixture.publish("t/a", "ready");
    fixture.pass(SourceOutage::ReregistrationTime);
    CHECK(fixture.has("a"));
}

TEST_CASE("an older write of a draining target doesn't make it ready again")
{
    // Guards against requests that are cut off when their target ends. A write of the state "ready"
    // is delayed, and the target writes "draining" meanwhile. Then the older write takes effect
    // with a later revision. Daemons that go by the revision send requests until the target is
    // gone, and log TargetChanged with ready and sequence 6 after draining and sequence 8.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready#5");
    fixture.publish("t/a", "draining#8");
    fixture.publish("t/a", "ready#6");
    CHECK_FALSE(fixture.isReady("a"));
    fixture.publish("t/a", std::nullopt);
    fixture.publish("t/a", "ready#7");
    CHECK_FALSE(fixture.isReady("a"));
    // Newer writes of the target apply, and so do those of its next instance.
    fixture.publish("t/a", "ready#9");
    CHECK(fixture.isReady("a"));
    fixture.publish("t/a", "draining#10");
    fixture.publish("t/a", "ready@77#1");
    CHECK(fixture.isReady("a"));
}

TEST_CASE("an entry without the start time that its target always states is rejected")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@5");
    fixture.publish("t/a", "ready");
    CHECK_FALSE(fixture.has("a"));
    fixture.publish("t/a", "ready@6");
    CHECK(fixture.gateway.targets().find(TargetId("a"))->entry.startedAt == 6);
}

TEST_CASE("lookups return ready daemons near the caller")
{
    const std::map<DataCentreId, RegionId> regions {{DataCentreId("a"), RegionId("r")},
                                                    {DataCentreId("b"), RegionId("r")},
                                                    {DataCentreId("c"), RegionId("q")}};
    const auto entry = [](std::uint16_t port, const std::string &dataCentre) {
        return LookupCandidate {{"10.0.0.1", port}, DataCentreId(dataCentre)};
    };
    const LookupRequest request {RegionId("r"), DataCentreId("a")};
    using Ports = std::vector<Endpoint>;
    CHECK(nearestAddresses({entry(1, "a"), entry(2, "a"), entry(3, "b")}, regions, request)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 2}});
    CHECK(nearestAddresses({entry(1, "a"), entry(3, "b"), entry(4, "c")}, regions, request)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 3}});
    CHECK(nearestAddresses({entry(1, "a"), entry(4, "c")}, regions, request)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 4}});
    CHECK(nearestAddresses({}, regions, request).empty());
}

TEST_CASE("an evacuation is in force while its item exists, whatever its value")
{
    // Guards against requests to a data centre that an operator has evacuated for repairs.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("e/d", "\xff");
    CHECK_FALSE(fixture.hasSlots("a"));
    // A target that registers during the evacuation gets no requests either.
    fixture.publish("t/b", "ready");
    CHECK_FALSE(fixture.hasSlots("b"));
    fixture.publish("e/d", std::nullopt);
    CHECK(fixture.hasSlots("a"));
    CHECK(fixture.hasSlots("b"));
}

TEST_CASE("several data centres can be evacuated at once")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("e/d", "{}");
    fixture.publish("e/other", "{}");
    fixture.publish("e/other", std::nullopt);
    CHECK_FALSE(fixture.hasSlots("a"));
}

TEST_CASE("outdated information doesn't change the state of an evacuation")
{
    // Guards against requests to an evacuated data centre, or one that stays unused after the end
    // of its evacuation. A peer that was cut off sends its outdated state, or a listing was made
    // before the change.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("e/d", "{}");
    fixture.publish("e/d", std::nullopt);
    fixture.state.apply({{{"e/d", "{}", 2}}, false, 2});
    CHECK(fixture.hasSlots("a"));
    fixture.publish("e/d", "{}");
    fixture.state.apply({{{"t/a", "ready", 1}}, true, 3});
    CHECK_FALSE(fixture.hasSlots("a"));
}

TEST_CASE("an evacuation whose end is missing from the history ends with the next listing")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready");
    fixture.publish("e/d", "{}");
    fixture.state.apply({{{"t/a", "ready", 1}}, true, 9});
    CHECK(fixture.hasSlots("a"));
}

TEST_CASE("a starting daemon applies an evacuation before it sends any request")
{
    // The first listing holds all items in arbitrary order, so a target may precede the evacuation
    // of its data centre.
    PublishedStateFixture fixture;
    fixture.state.apply({{{"t/a", "ready", 1}, {"c", "3", 4}, {"e/d", "{}", 2}}, true, 5});
    CHECK(fixture.has("a"));
    CHECK_FALSE(fixture.hasSlots("a"));
}

TEST_CASE("an entry that differs only in its sequence isn't passed on to peers")
{
    // Each target rewrites its entry every second. Peers need to learn that a target registers, is
    // draining or is cold again, but not each renewal.
    PublishedStateFixture fixture;
    fixture.publish("c", "1");
    fixture.publish("t/a", "ready#1");
    const Revision known = fixture.state.replica().relevantRevision();
    fixture.publish("t/a", "ready#2");
    fixture.publish("t/a", "ready#3");
    CHECK(fixture.state.replica().relevantRevision() == known);
    // The sequence number is stored, as it identifies an older write that arrives late.
    fixture.publish("t/a", "draining#4");
    CHECK(fixture.state.replica().relevantRevision() == fixture.revision);
    fixture.publish("t/a", "draining#5");
    CHECK(fixture.state.replica().relevantRevision() == fixture.revision - 1);
    fixture.publish("t/a", "ready#4");
    CHECK_FALSE(fixture.isReady("a"));
    fixture.publish("t/a", std::nullopt);
    CHECK(fixture.state.replica().relevantRevision() == fixture.revision);
}
