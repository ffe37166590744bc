// Counts of real Membership objects in memory, bytes as sealed with IP and UDP headers. The bounds
// are regression bounds; the figures of a run are in docs/MEMBERSHIP.md.

#include "apricothook_fake_fleet.hpp"

#include <apricothook/membership/apricothook_membership_limits.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Apricothook;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_SUITE_BEGIN("membership at scale");

namespace {

constexpr std::size_t LargestDatagram = 1200;

struct Traffic
{
    double bytesPerSecond = 0;
    double datagramsPerSecond = 0;
    std::size_t largest = 0;
};

std::vector<std::size_t> regionsOf(std::size_t size)
{
    return size < 100 ? std::vector<std::size_t> {3} : std::vector<std::size_t> {4, 3};
}

double periods(Duration time)
{
    return static_cast<double>(time.count()) / static_cast<double>(Duration(ProbePeriod).count());
}

/** Of the mean daemon, over the time that `work` takes. */
Traffic trafficOf(FakeFleet &fleet, const std::function<void()> &work)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.member(i).bytesSent = 0;
        fleet.member(i).datagramsSent = 0;
    }
    const Instant begin = fleet.now();
    work();
    Traffic traffic;
    const double scale = periods(fleet.now() - begin) * static_cast<double>(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        traffic.bytesPerSecond += static_cast<double>(fleet.member(i).bytesSent) / scale;
        traffic.datagramsPerSecond += static_cast<double>(fleet.member(i).datagramsSent) / scale;
        traffic.largest = std::max(traffic.largest, fleet.member(i).largestDatagram);
    }
    return traffic;
}

std::size_t smallestView(FakeFleet &fleet)
{
    std::size_t smallest = fleet.size();
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.member(i).isRunning)
            smallest = std::min(smallest, fleet[i].live().size());
    return smallest;
}

} // namespace

TEST_CASE("The cost of a daemon stays the same as the fleet grows")
{
    for (const std::size_t size : {9, 36, 100, 320}) {
        FakeFleet fleet(size, regionsOf(size));
        const Traffic joining = trafficOf(fleet, [&] { fleet.form(); });
        fleet.run(minutes(1));
        const Traffic quiet = trafficOf(fleet, [&] { fleet.run(minutes(1)); });
        // Ten times an ordinary day: a death and a replacement within a minute.
        fleet.kill(size - 1);
        Duration found {};
        const Traffic busy = trafficOf(fleet, [&] {
            found = fleet.runUntil([&] { return fleet.seenBy(size - 1) == 0; }, minutes(2));
            fleet.start(size - 1, 2);
            fleet.run(seconds(30));
        });
        MESSAGE(size, " daemons: joining ", joining.bytesPerSecond, " B/s; quiet ",
                quiet.bytesPerSecond, " B/s in ", quiet.datagramsPerSecond, " datagrams/s; busy ",
                busy.bytesPerSecond, " B/s; a death known by all after ", periods(found),
                " periods; largest datagram ", busy.largest);
        CHECK(quiet.bytesPerSecond < 1000);
        CHECK(busy.bytesPerSecond < 5000);
        CHECK(busy.largest <= LargestDatagram);
        CHECK(joining.largest <= LargestDatagram);
        CHECK(periods(found) < 20);
        CHECK(smallestView(fleet) == size);
        CHECK(fleet.events(MembershipEvent::SelfRefuted) == 0);
    }
}

TEST_CASE("A lossy network brings suspicions and no deaths")
{
    // Two datagrams in a hundred are lost, some come twice and late. Probes fail and members are
    // suspected, which callers don't see; a death would move their shards and cost them time.
    for (const std::size_t size : {9, 100}) {
        FakeFleet fleet(size, regionsOf(size));
        fleet.form();
        fleet.network = {0.02, 0.02, std::chrono::milliseconds(60), {}};
        fleet.run(minutes(10));
        MESSAGE(size,
                " daemons, 600 periods, 2% loss: ", fleet.events(MembershipEvent::MemberSuspected),
                " suspicions heard, ", fleet.events(MembershipEvent::SelfRefuted), " refuted, ",
                fleet.events(MembershipEvent::MemberDied), " deaths");
        CHECK(fleet.events(MembershipEvent::MemberDied) == 0);
        CHECK(fleet.events(MembershipEvent::SelfRefuted) < static_cast<int>(size));
        CHECK(smallestView(fleet) == size);
    }
}

TEST_CASE("A data centre lost at once is known within the budget and is no split")
{
    FakeFleet fleet(320, {4, 3});
    fleet.form();
    std::size_t lost = 0;
    for (std::size_t i = 0; i < fleet.size(); i += 7, ++lost)
        fleet.kill(i);
    Duration found {};
    const Traffic traffic = trafficOf(fleet, [&] {
        found = fleet.runUntil(
            [&] {
                for (std::size_t i = 1; i < fleet.size(); ++i)
                    if (i % 7 != 0 && fleet[i].live().size() != fleet.size() - lost)
                        return false;
                return true;
            },
            minutes(5));
    });
    MESSAGE("46 of 320 lost: known by all after ", periods(found), " periods, ",
            traffic.bytesPerSecond, " B/s");
    CHECK(periods(found) < 60);
    CHECK(traffic.bytesPerSecond < 5000);
    CHECK(fleet[1].visibleShare() == 1);
}

TEST_CASE("Regions of a large fleet mend within the budget")
{
    FakeFleet fleet(320, {4, 3});
    fleet.form();
    const auto isFirst = [](std::size_t number) { return number % 7 < 4; };
    fleet.network.connects
        = [&](std::size_t from, std::size_t to) { return isFirst(from) == isFirst(to); };
    Duration split {};
    const Traffic cut = trafficOf(fleet, [&] {
        split = fleet.runUntil([&] { return fleet[0].visibleShare() < 1; }, minutes(10));
        fleet.run(seconds(40));
    });
    fleet.run(minutes(2));
    CHECK(fleet[0].live().size() == 184);
    CHECK(fleet[4].visibleShare() == doctest::Approx(136.0 / 320));
    fleet.network.connects = nullptr;
    Duration nearly {};
    Duration mended {};
    const Traffic mending = trafficOf(fleet, [&] {
        nearly = fleet.runUntil([&] { return smallestView(fleet) >= 304; }, minutes(10));
        mended = nearly + fleet.runUntil([&] { return smallestView(fleet) == 320; }, minutes(10));
    });
    MESSAGE("320 split: share lowered after ", periods(split), " periods, ", cut.bytesPerSecond,
            " B/s; all see 95% after ", periods(nearly), " and all after ", periods(mended),
            " periods, ", mending.bytesPerSecond, " B/s");
    CHECK(periods(mended) < 90);
    CHECK(cut.bytesPerSecond < 5000);
    CHECK(mending.bytesPerSecond < 5000);
}

TEST_CASE("Whatever a network loses, doubles and reorders, members that answer stay")
{
    // Any mix of loss up to a third, doubles and reordering, then a while without: whoever was
    // declared dead meanwhile must be back, and no daemon's incarnation may ever have gone back.
    CHECK(rc::check([] {
        const std::size_t size = 3 + *rc::gen::inRange<std::size_t>(0, 8);
        FakeFleet fleet(size, {2, 1}, *rc::gen::arbitrary<std::uint64_t>());
        fleet.form();
        fleet.network.loss = *rc::gen::inRange(0, 33) / 100.0;
        fleet.network.duplicates = *rc::gen::inRange(0, 50) / 100.0;
        fleet.network.jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        const std::size_t replaced = *rc::gen::inRange<std::size_t>(0, size);
        std::vector<Incarnation> newest(size);
        for (int second = 0; second < 60; ++second) {
            if (second == 20)
                fleet.start(replaced, 2);
            fleet.run(seconds(1));
            const auto seen = fleet[(replaced + 1) % size].find(fleet[replaced].self().member);
            RC_ASSERT(!seen || seen->instance.incarnation >= newest[replaced]);
            newest[replaced] = seen ? seen->instance.incarnation : newest[replaced];
        }
        fleet.network = {};
        fleet.run(minutes(2));
        RC_ASSERT(smallestView(fleet) == size);
        for (std::size_t i = 0; i < size; ++i)
            RC_ASSERT(fleet.seenBy(i) == size - 1);
    }));
}

TEST_SUITE_END();
