#include <apricothook/fleetview/apricothook_fleet_size.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

const std::chrono::milliseconds Beat {200};

Endpoint addressOf(std::size_t number)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(number)};
}

/** The daemon with number 9, and others before it; numbers 1 to 3 are seeds. */
struct Bench
{
    static constexpr std::size_t Own = 9;

    ManualClock clock;
    FleetDirectory directory {MemberId("vm-9")};
    FleetSize size {directory, {addressOf(1), addressOf(2), addressOf(3)}, addressOf(Own)};

    /** Hears the daemons all the while. */
    void hear(std::size_t first, std::size_t last, std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed {}; passed < time; passed += Beat) {
            for (std::size_t number = first; number <= last; ++number) {
                MemberInfo brief;
                brief.member = MemberId("vm-" + std::to_string(number));
                brief.beaconAddress = addressOf(number);
                directory.update(brief, clock.now());
            }
            review();
        }
    }
    void hearNobody(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed {}; passed < time; passed += Beat)
            review();
    }
    void review()
    {
        clock.advance(Beat);
        directory.review(clock.now());
        size.review(clock.now());
    }
};

} // namespace

TEST_CASE("the fleet's size is unknown until most seeds and all names are heard")
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
    // One seed may be on the same side of a cut.
    bench.hear(3, 5, std::chrono::minutes(10));
    CHECK(bench.size.daemons() == 9);
}

TEST_CASE("the fleet's size falls where most seeds are heard and others have been silent")
{
    Bench bench;
    bench.hear(1, 8, std::chrono::seconds(2));
    bench.hear(1, 4, std::chrono::seconds(10));
    CHECK(bench.size.daemons() == 9);
    bench.hear(1, 4, FleetDirectory::KnownLimit);
    CHECK(bench.size.daemons() == 5);
}

TEST_CASE("a daemon without other seeds is the fleet")
{
    ManualClock clock;
    FleetDirectory directory(MemberId("vm-9"));
    FleetSize size(directory, {addressOf(9)}, addressOf(9));
    for (int turn = 0; turn < 10; ++turn) {
        clock.advance(Beat);
        directory.review(clock.now());
        size.review(clock.now());
    }
    CHECK(size.daemons() == 1);
}
