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

/**
 * The service's targets are cold for some seconds after their start and handle few requests during
 * that time.
 */
struct ColdTargetBench : DispatchBench
{
    explicit ColdTargetBench(std::uint64_t self = 1)
        : DispatchBench(ColdTargetLimiter(self, boundsOfColdTargets()))
    {
        ServiceRule rule;
        rule.name = Service;
        rule.coldTime = ColdTime;
        rule.coldPerSecond = ColdPerSecond;
        targets.setServices({rule}, clock.now());
    }
    void addColdTarget(const std::string &id, std::uint32_t slots, Duration coldFor = ColdTime)
    {
        TargetEntry entry = entryOf(id, slots);
        entry.remainingColdTime = coldFor;
        targets.put(entry, clock.now());
    }
    /** Offers one request per millisecond; each ends at once. */
    std::size_t placedIn(Duration time)
    {
        const std::size_t before = placements.placed.size();
        const Instant end = clock.now() + time;
        while (clock.now() < end) {
            offer(++m_last);
            finishAll();
            clock.advance(milliseconds(1));
        }
        return placements.placed.size() - before;
    }

    void finishAll()
    {
        while (m_ended < placements.targets.size())
            this->finish(placements.targets[m_ended++]);
    }

private:
    std::uint64_t m_last = 0;
    std::size_t m_ended = 0;
};

} // namespace

TEST_CASE("a cold target gets at most half of its limit from one daemon in any second")
{
    // A target that has just started handles twelve requests a second. A burst of short ones would
    // send it hundreds, and it would crash with all its running requests. Two daemons may both rank
    // themselves first, so each may send half of the 23 that are allowed.
    ColdTargetBench bench;
    bench.addColdTarget("a", 8);
    CHECK(bench.placedIn(seconds(1)) <= 11);
    CHECK(bench.placedIn(seconds(1)) >= 10);
    bench.clock.advance(ColdTime);
    CHECK(bench.placedIn(seconds(1)) > 100);
}

TEST_CASE("requests that a target got just before it turned cold count")
{
    // When an evacuation ends or an entry reports a restart, the second in which the target turns
    // cold already contains requests. Without them in the count the target would get too many.
    ColdTargetBench bench;
    bench.addTarget("a", 8);
    const std::size_t before = bench.placedIn(milliseconds(5));
    REQUIRE(before >= 5);
    bench.addColdTarget("a", 8);
    CHECK(before + bench.placedIn(milliseconds(900)) <= 11);
}

TEST_CASE("one daemon sends to a cold target and the others use the warm ones")
{
    // Daemons that know the same members agree, without a message, on the one that sends to a cold
    // target. Callers of all daemons are still served by warm targets.
    std::size_t senders = 0;
    for (std::uint64_t member = 1; member <= 9; ++member) {
        ColdTargetBench bench(member);
        bench.targets.setColdTargetSenders({{1, 2, 3, 4, 5, 6, 7, 8, 9}, ColdView::Main});
        bench.addColdTarget("a", 8);
        const std::size_t placed = bench.placedIn(milliseconds(100));
        CHECK((placed == 0 || placed == 11));
        senders += placed > 0 ? 1 : 0;
        bench.addTarget("b", 8);
        CHECK(bench.placedIn(milliseconds(100)) > 50);
    }
    CHECK(senders == 1);
}

TEST_CASE("a daemon that others may not see sends nothing to cold targets")
{
    // Thirty daemons that are cut off from the others would each consider themselves the only one
    // left and send to the same target, which crashes again after its return.
    ColdTargetBench bench;
    bench.targets.setColdTargetSenders({{1}, ColdView::Outside});
    bench.addColdTarget("a", 8);
    CHECK(bench.placedIn(seconds(1)) == 0);
    // Cold targets are known, and warm ones are used.
    bench.addTarget("b", 8);
    CHECK(bench.placedIn(seconds(1)) > 100);
    bench.targets.setColdTargetSenders({{1}, ColdView::Alone});
    CHECK(bench.placedIn(seconds(1)) == 0);
}

TEST_CASE("an entry with a shorter cold time doesn't end the current one")
{
    // A late write of an older entry would let all daemons send to a target that is still cold.
    ColdTargetBench bench;
    bench.addColdTarget("a", 8);
    bench.addColdTarget("a", 8, Duration::zero());
    CHECK(bench.placedIn(seconds(1)) <= 11);
}

TEST_CASE("targets without a cold limit take full load from their start")
{
    DispatchBench bench;
    TargetEntry entry = bench.entryOf("a", 8);
    entry.remainingColdTime = ColdTime;
    bench.targets.put(entry, bench.clock.now());
    for (std::uint64_t id = 1; id <= 8; ++id)
        bench.offer(id);
    CHECK(bench.placements.placed.size() == 8);
}

TEST_CASE("targets of an evacuated data centre get no requests and don't count as capacity")
{
    // An operator evacuates a data centre, and its targets must not get requests any more. Queued
    // requests must not count on their slots either: with a third of the slots gone they would wait
    // in vain.
    ColdTargetBench bench;
    bench.addTarget("a", 4);
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

TEST_CASE("targets are cold after the evacuation of their data centre")
{
    // Targets crash one after the other when an evacuation ends: they may have restarted in the
    // meantime, and entries written before don't show it.
    ColdTargetBench bench;
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

TEST_CASE("a service whose targets are all evacuated refuses at once with a time to retry")
{
    // A request that can't run must be refused while its caller has time to retry; no slot becomes
    // free during the evacuation.
    ColdTargetBench bench;
    bench.addTarget("a", 4);
    for (std::uint64_t id = 1; id <= 5; ++id)
        bench.offer(id);
    REQUIRE(bench.placements.refused.empty());
    bench.targets.setEvacuated(DataCentreId("here"), true, bench.clock.now());
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.refused == std::vector<std::uint64_t> {5});
    bench.offer(6);
    CHECK(bench.placements.refused == std::vector<std::uint64_t> {5, 6});
    CHECK(bench.placements.lastRefusal.retryAfter >= seconds(4));
    CHECK(bench.placements.lastRefusal.capacity.evacuated == 1);
}

TEST_CASE("a target that is added while its data centre is evacuated gets no requests")
{
    ColdTargetBench bench;
    bench.targets.setEvacuated(DataCentreId("there"), true, bench.clock.now());
    bench.targets.put(bench.entryOf("b", 8, "there"), bench.clock.now());
    bench.addTarget("a", 1);
    bench.offer(1);
    bench.offer(2);
    CHECK(bench.placements.targets == std::vector<std::string> {"a"});
}

TEST_CASE("isolated daemons send few requests to each target, whatever its recorded state")
{
    // Targets crash after they were evacuated and taken back: daemons that are cut off from the
    // others and from published state missed it and send to them as if they were warm. All of them
    // together may send the half of the limit that the target's regular sender leaves.
    std::vector<std::uint64_t> members;
    for (std::uint64_t member = 1; member <= 84; ++member)
        members.push_back(member);
    std::size_t sent = 0;
    for (const std::uint64_t member : members) {
        ColdTargetBench bench(member);
        bench.targets.setColdTargetSenders({members, ColdView::Doubtful});
        bench.addTarget("a", 8);
        sent += bench.placedIn(seconds(1));
    }
    CHECK(sent <= 11);
    CHECK(sent >= 8);
    // Each of them serves its callers on some of the targets.
    ColdTargetBench bench(7);
    bench.targets.setColdTargetSenders({members, ColdView::Doubtful});
    for (int target = 0; target < 90; ++target)
        bench.addTarget("t" + std::to_string(target), 8);
    CHECK(bench.placedIn(seconds(1)) >= 5);
}
