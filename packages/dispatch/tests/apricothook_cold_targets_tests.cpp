#include "apricothook_dispatch_bench.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double ColdPerSecond = 12;
constexpr Duration ColdTime = seconds(3);

FleetBounds boundsOfColdTargets()
{
    FleetBounds bounds;
    bounds.coldOvershoot = 1.5;
    bounds.coldSlack = 5;
    return bounds;
}

/** The service's targets are cold for some seconds after their start, and bear few requests then.
 */
struct ColdBench : DispatchBench
{
    explicit ColdBench(std::uint64_t self = 1)
        : DispatchBench(ColdTargetLimiter(self, boundsOfColdTargets()))
    {
        ServiceRule rule;
        rule.name = Service;
        rule.coldTime = ColdTime;
        rule.coldPerSecond = ColdPerSecond;
        targets.setServices({rule}, clock.now());
    }
    void coldTarget(const std::string &id, std::uint32_t slots, Duration coldFor = ColdTime)
    {
        TargetEntry entry = entryOf(id, slots);
        entry.remainingColdTime = coldFor;
        targets.put(entry, clock.now());
    }
    /** Offers requests that end at once, one each millisecond. */
    std::size_t placedIn(Duration time)
    {
        const std::size_t before = placements.placed.size();
        const Instant end = clock.now() + time;
        while (clock.now() < end) {
            offer(++m_last);
            endAll();
            clock.advance(milliseconds(1));
        }
        return placements.placed.size() - before;
    }

    void endAll()
    {
        while (m_ended < placements.targets.size())
            this->end(placements.targets[m_ended++]);
    }

private:
    std::uint64_t m_last = 0;
    std::size_t m_ended = 0;
};

} // namespace

TEST_CASE("a cold target gets no more than half of its bound from one daemon in any second")
{
    // Callers lose all that a target works on when it crashes. It has just started and bears twelve
    // requests a second; a burst of short ones would give it hundreds. Two daemons may both take
    // themselves for its sender, so each has half of the 23 that are allowed.
    ColdBench bench;
    bench.coldTarget("a", 8);
    CHECK(bench.placedIn(seconds(1)) <= 11);
    CHECK(bench.placedIn(seconds(1)) >= 10);
    bench.clock.advance(ColdTime);
    CHECK(bench.placedIn(seconds(1)) > 100);
}

TEST_CASE("what a target got just before it turned cold counts")
{
    // An evacuation ends, or an entry tells that the target started anew: the second in which it
    // turned cold holds requests of before.
    ColdBench bench;
    bench.target("a", 8);
    const std::size_t before = bench.placedIn(milliseconds(5));
    REQUIRE(before >= 5);
    bench.coldTarget("a", 8);
    CHECK(before + bench.placedIn(milliseconds(900)) <= 11);
}

TEST_CASE("one daemon sends to a cold target and the others use the warm ones")
{
    // Callers everywhere are served on by warm targets. Daemons that know the same members agree on
    // the one that sends to a cold target, without a message.
    std::size_t senders = 0;
    for (std::uint64_t member = 1; member <= 9; ++member) {
        ColdBench bench(member);
        bench.targets.setColdTargetSenders({{1, 2, 3, 4, 5, 6, 7, 8, 9}, ColdView::Main});
        bench.coldTarget("a", 8);
        const std::size_t placed = bench.placedIn(milliseconds(100));
        CHECK((placed == 0 || placed == 11));
        senders += placed > 0 ? 1 : 0;
        bench.target("b", 8);
        CHECK(bench.placedIn(milliseconds(100)) > 50);
    }
    CHECK(senders == 1);
}

TEST_CASE("a daemon that may be out of sight sends nothing to cold targets")
{
    // A target that comes back crashes again: each of thirty daemons that are cut off from the
    // others takes itself for the only one left, and for the target's sender.
    ColdBench bench;
    bench.targets.setColdTargetSenders({{1}, ColdView::Outside});
    bench.coldTarget("a", 8);
    CHECK(bench.placedIn(seconds(1)) == 0);
    // It knows which are cold, and uses the others.
    bench.target("b", 8);
    CHECK(bench.placedIn(seconds(1)) > 100);
    bench.targets.setColdTargetSenders({{1}, ColdView::Alone});
    CHECK(bench.placedIn(seconds(1)) == 0);
}

TEST_CASE("an entry that tells less of the cold time doesn't end it")
{
    // A late write of the former state would let all daemons send to a target that is still cold.
    ColdBench bench;
    bench.coldTarget("a", 8);
    bench.coldTarget("a", 8, Duration::zero());
    CHECK(bench.placedIn(seconds(1)) <= 11);
}

TEST_CASE("targets that no rule bounds take what they can from their start")
{
    DispatchBench bench;
    TargetEntry entry = bench.entryOf("a", 8);
    entry.remainingColdTime = ColdTime;
    bench.targets.put(entry, bench.clock.now());
    for (std::uint64_t id = 1; id <= 8; ++id)
        bench.offer(id);
    CHECK(bench.placements.placed.size() == 8);
}

TEST_CASE("targets of an evacuated data centre get nothing, and the room for what waits shrinks")
{
    // An operator empties a data centre, and requests still reach its targets. What waits must not
    // count on their slots either: with a third of them gone it would wait in vain.
    ColdBench bench;
    bench.target("a", 4);
    bench.targets.put(bench.entryOf("b", 4, "there"), bench.clock.now());
    CHECK(bench.targets.capacity(Service, bench.clock.now()).slots == 8);
    bench.targets.setEvacuated(DataCentreId("there"), true, bench.clock.now());
    CHECK(bench.targets.capacity(Service, bench.clock.now()).slots == 4);
    CHECK(bench.targets.capacity(Service, bench.clock.now()).evacuated == 1);
    for (std::uint64_t id = 1; id <= 8; ++id)
        bench.offer(id);
    CHECK(bench.placements.targets == std::vector<std::string>(4, "a"));

    bench.targets.setEvacuated(DataCentreId("there"), false, bench.clock.now());
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.targets.back() == "b");
}

TEST_CASE("targets are cold when their data centre is taken back")
{
    // Targets crash one after the other when an evacuation ends. They may have started again in
    // it, and their entries of before tell nothing of that.
    ColdBench bench;
    bench.targets.put(bench.entryOf("b", 8, "there"), bench.clock.now());
    bench.targets.setEvacuated(DataCentreId("there"), true, bench.clock.now());
    bench.clock.advance(seconds(10));
    bench.targets.setEvacuated(DataCentreId("there"), false, bench.clock.now());
    bench.targets.put(bench.entryOf("b", 8, "there"), bench.clock.now());
    CHECK(bench.placedIn(seconds(1)) <= 11);
    bench.clock.advance(ColdTime);
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placedIn(seconds(1)) > 100);
}

TEST_CASE("a service whose targets are all evacuated refuses at once and says when to come back")
{
    // A caller whose request can't run hears so while it has time to try again; nothing will come
    // free while the evacuation lasts.
    ColdBench bench;
    bench.target("a", 4);
    for (std::uint64_t id = 1; id <= 5; ++id)
        bench.offer(id);
    REQUIRE(bench.placements.refused.empty());
    bench.targets.setEvacuated(DataCentreId("here"), true, bench.clock.now());
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.refused == std::vector<std::uint64_t> {5});
    bench.offer(6);
    CHECK(bench.placements.refused == std::vector<std::uint64_t> {5, 6});
    CHECK(bench.placements.last.retryAfter >= seconds(4));
    CHECK(bench.placements.last.capacity.evacuated == 1);
}

TEST_CASE("a target that is put while its data centre is evacuated gets nothing")
{
    ColdBench bench;
    bench.targets.setEvacuated(DataCentreId("there"), true, bench.clock.now());
    bench.targets.put(bench.entryOf("b", 8, "there"), bench.clock.now());
    bench.target("a", 1);
    bench.offer(1);
    bench.offer(2);
    CHECK(bench.placements.targets == std::vector<std::string> {"a"});
}

TEST_CASE("daemons that nothing reaches send little to each target, whatever they believe of it")
{
    // Targets crash that have been evacuated and taken back: daemons that are cut off from the
    // others and from what is published never heard of it, and send on as to warm ones. Together
    // they have the half of the bound that the target's sender leaves.
    std::vector<std::uint64_t> members;
    for (std::uint64_t member = 1; member <= 84; ++member)
        members.push_back(member);
    std::size_t sent = 0;
    for (const std::uint64_t member : members) {
        ColdBench bench(member);
        bench.targets.setColdTargetSenders({members, ColdView::Doubtful});
        bench.target("a", 8);
        sent += bench.placedIn(seconds(1));
    }
    CHECK(sent <= 11);
    CHECK(sent >= 8);
    // Each of them serves its callers on some of the targets.
    ColdBench bench(7);
    bench.targets.setColdTargetSenders({members, ColdView::Doubtful});
    for (int target = 0; target < 90; ++target)
        bench.target("t" + std::to_string(target), 8);
    CHECK(bench.placedIn(seconds(1)) >= 5);
}
