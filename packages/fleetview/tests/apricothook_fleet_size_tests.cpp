#include <apricothook/fleetview/apricothook_fleet_size.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

const std::chrono::milliseconds HeartbeatInterval {200};

Endpoint addressOf(std::size_t number)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(number)};
}

/** Daemon number 9 of a fleet whose daemons 1 to 3 are the seeds. */
struct Bench
{
    static constexpr std::size_t Own = 9;

    ManualClock clock;
    FleetDirectory directory {MemberId("vm-9")};
    FleetSize size {directory, {addressOf(1), addressOf(2), addressOf(3)}, addressOf(Own)};

    /** Lets `time` pass while the daemons from `first` to `last` are heard. */
    void hear(std::size_t first, std::size_t last, std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed {}; passed < time; passed += HeartbeatInterval) {
            for (std::size_t number = first; number <= last; ++number) {
                MemberInfo info;
                info.member = MemberId("vm-" + std::to_string(number));
                info.peerAddress = addressOf(number);
                directory.update(info, clock.now());
            }
            review();
        }
    }
    void hearNobody(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed {}; passed < time; passed += HeartbeatInterval)
            review();
    }
    void review()
    {
        clock.advance(HeartbeatInterval);
        directory.review(clock.now());
        size.review(clock.now());
    }
};

} // namespace

TEST_CASE("the fleet's size is unknown until most seeds and all members have been heard")
{
    Bench bench;
    bench.hearNobody(std::chrono::seconds(30));
    CHECK(bench.size.daemons() == std::nullopt);
    bench.hear(3, 8, std::chrono::seconds(5));
    CHECK(bench.size.daemons() == std::nullopt);
    bench.hear(1, 8, std::chrono::seconds(1));
    CHECK(bench.size.daemons() == 9);
}

TEST_CASE("a daemon that is cut off keeps the fleet's size")
{
    Bench bench;
    bench.hear(1, 8, std::chrono::seconds(2));
    bench.hearNobody(std::chrono::minutes(10));
    CHECK(bench.size.daemons() == 9);
    // One of the seeds may be on the same side of the partition.
    bench.hear(3, 5, std::chrono::minutes(10));
    CHECK(bench.size.daemons() == 9);
}

TEST_CASE("the fleet's size decreases if most seeds are heard and other members are silent")
{
    Bench bench;
    bench.hear(1, 8, std::chrono::seconds(2));
    bench.hear(1, 4, std::chrono::seconds(10));
    CHECK(bench.size.daemons() == 9);
    bench.hear(1, 4, FleetDirectory::KnownLimit);
    CHECK(bench.size.daemons() == 5);
}

TEST_CASE("a daemon that is the only seed is a fleet of one")
{
    ManualClock clock;
    FleetDirectory directory(MemberId("vm-9"));
    FleetSize size(directory, {addressOf(9)}, addressOf(9));
    for (int turn = 0; turn < 10; ++turn) {
        clock.advance(HeartbeatInterval);
        directory.review(clock.now());
        size.review(clock.now());
    }
    CHECK(size.daemons() == 1);
}
