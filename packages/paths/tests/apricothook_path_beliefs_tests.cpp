#include <apricothook/paths/apricothook_reach_evidence.hpp>
#include <apricothook/paths/apricothook_relay_selection.hpp>
#include <apricothook/paths/apricothook_target_paths.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace Apricothook;

namespace {

constexpr Instant Start {std::chrono::seconds(100)};
const TargetInstance First {TargetId("a"), 0};
const TargetInstance Second {TargetId("b"), 0};

ReachVerdict verdict(ProbeResult own, const std::vector<RelayOutcome> &others, bool isAlone = false)
{
    ReachEvidence evidence;
    evidence.own = own;
    evidence.isAlone = isAlone;
    for (const RelayOutcome outcome : others)
        evidence.add(outcome);
    return verdictOf(evidence);
}

} // namespace

TEST_CASE("the path is at fault if any daemon reaches the target")
{
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::TargetRefuses, RelayOutcome::Reached})
          == ReachVerdict::Elsewhere);
    CHECK(verdict(ProbeResult::Silent, {RelayOutcome::NoPath, RelayOutcome::Reached})
          == ReachVerdict::Elsewhere);
    CHECK(verdict(ProbeResult::Kept, {}) == ReachVerdict::Here);
}

TEST_CASE("a target is at fault only by the word of most daemons, which reach others")
{
    // Daemons that are cut off together agree about every target.
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::NoPath, RelayOutcome::NoPath})
          == ReachVerdict::Unknown);
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::Failed, RelayOutcome::Busy})
          == ReachVerdict::Unknown);
    CHECK(verdict(ProbeResult::Refused, {}) == ReachVerdict::Unknown);
    const std::vector<RelayOutcome> most {RelayOutcome::NoPath, RelayOutcome::TargetRefuses,
                                          RelayOutcome::TargetRefuses};
    CHECK(verdict(ProbeResult::Silent, most) == ReachVerdict::Refused);
}

TEST_CASE("nothing is concluded about a target of which daemons tell different things")
{
    // A crash looks the same to all; paths that are lost in different ways don't.
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::TargetSilent, RelayOutcome::TargetRefuses})
          == ReachVerdict::Unknown);
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::NoPath, RelayOutcome::TargetRefuses})
          == ReachVerdict::Unknown);
}

TEST_CASE("a target that only this daemon's own connection was refused by may be silent")
{
    CHECK(verdict(ProbeResult::Refused, {RelayOutcome::TargetSilent}) == ReachVerdict::Silent);
    CHECK(verdict(ProbeResult::Refused, {}, true) == ReachVerdict::Refused);
    CHECK(verdict(ProbeResult::Silent, {}, true) == ReachVerdict::Silent);
}

TEST_CASE("a lost path makes all paths doubtful that haven't been tested since")
{
    TargetPaths paths;
    CHECK(paths.state(First) == PathState::Trusted);
    CHECK(paths.recordLost(First, Start));
    CHECK_FALSE(paths.recordLost(First, Start));
    CHECK(paths.state(First) == PathState::Lost);
    CHECK(paths.state(Second) == PathState::Doubtful);
    paths.recordReached(Second, Start + std::chrono::milliseconds(10));
    CHECK(paths.state(Second) == PathState::Trusted);
    const Instant later = Start + TargetPaths::DoubtInterval;
    CHECK(paths.recordLost({TargetId("c"), 0}, later));
    CHECK(paths.state(Second) == PathState::Doubtful);
}

TEST_CASE("no path is doubtful once all are carrying connections again")
{
    TargetPaths paths;
    paths.recordLost(First, Start);
    CHECK(paths.recordReached(First, Start + std::chrono::seconds(3)) == std::chrono::seconds(3));
    CHECK(paths.state(Second) == PathState::Trusted);
    paths.recordLost(First, Start + std::chrono::seconds(9));
    paths.forget(First);
    CHECK(paths.state(Second) == PathState::Trusted);
}

TEST_CASE("a path is tested once in an interval, however many requests need it")
{
    TargetPaths paths;
    int tests = 0;
    for (int step = 0; step < 1000; ++step)
        tests += paths.takeTest(First, Start + step * std::chrono::milliseconds(1)) ? 1 : 0;
    CHECK(tests == 2);
}

TEST_CASE("requests go only through daemons that are known to reach targets, the nearest first")
{
    DeterministicRandom random(1);
    RelaySelection relays(DataCentreId("here"), random);
    const RelayCandidate near {{"10.0.0.1", 1}, DataCentreId("here")};
    const RelayCandidate far {{"10.0.0.2", 1}, DataCentreId("far")};
    const std::vector<RelayCandidate> candidates {near, far};
    const DataCentreId target("here");
    CHECK_FALSE(relays.choose(candidates, target, Start));
    relays.record(far.address, RelayOutcome::Reached, Start);
    CHECK(relays.choose(candidates, target, Start) == far.address);
    relays.record(near.address, RelayOutcome::Reached, Start);
    CHECK(relays.choose(candidates, target, Start) == near.address);
    relays.record(near.address, RelayOutcome::NoPath, Start);
    CHECK(relays.choose(candidates, target, Start) == far.address);
    relays.recordBroken(far.address);
    CHECK_FALSE(relays.choose(candidates, target, Start));
    relays.record(far.address, RelayOutcome::Reached, Start);
    CHECK_FALSE(relays.choose(candidates, target, Start + RelaySelection::ProofTime * 2));
    CHECK_FALSE(relays.choose({near}, target, Start));
}

TEST_CASE("a panel has daemons of all data centres")
{
    // The daemons of one data centre are often cut off together.
    DeterministicRandom random(1);
    RelaySelection relays(DataCentreId("z0"), random);
    std::vector<RelayCandidate> candidates;
    for (int index = 0; index < 320; ++index) {
        const std::string zone = index < 300 ? "z0" : "z" + std::to_string(index % 7);
        candidates.push_back(
            {{"10.0.0.1", static_cast<std::uint16_t>(index + 1)}, DataCentreId(zone)});
    }
    const std::vector<Endpoint> panel = relays.choosePanel(candidates, 8);
    REQUIRE(panel.size() == 8);
    std::set<DataCentreId> zones;
    for (const Endpoint &endpoint : panel)
        zones.insert(candidates[endpoint.port - 1U].dataCentre);
    CHECK(zones.size() == 7);
    CHECK(std::set<Endpoint>(panel.begin(), panel.end()).size() == 8);
}
