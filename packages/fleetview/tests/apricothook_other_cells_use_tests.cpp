#include <apricothook/dispatch/apricothook_customer_allowance.hpp>
#include <apricothook/fleetview/apricothook_other_cells_use.hpp>
#include <apricothook/fleetview/apricothook_rate_meter.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace Apricothook;

namespace {

constexpr std::chrono::milliseconds Tick {200};
/** Eight cells hear of each other every 0.8 s, each at another moment. */
constexpr std::size_t Cells = 8;
constexpr std::size_t TicksBetweenSummaries = 4;
constexpr double Units = 2000;

CustomerRule customer()
{
    CustomerRule rule;
    rule.name = CustomerId("carrier");
    rule.unit = LimitUnit::Tokens;
    rule.ratePerSecond = 400'000;
    rule.burst = 400'000;
    return rule;
}

FleetBounds bounds()
{
    FleetBounds bounds;
    bounds.customerOvershoot = 0.25;
    bounds.customerSlack = 140'000;
    return bounds;
}

/** One cell, as one of its daemons sees it. */
struct Cell
{
    CustomerAllowance allowance {bounds()};
    RateMeter meter;
    OtherCellsUse others;

    double admit(double wanted, Instant now)
    {
        double admitted = 0;
        while (admitted + Units <= wanted && allowance.tryTake(customer(), {Units}, now)) {
            admitted += Units;
            meter.add(customerNumber(customer().name), Units, now);
        }
        return admitted;
    }
    void count(Instant now)
    {
        const double seconds = std::chrono::duration<double>(Tick).count();
        const CellBalance balance {8, 8 * (Cells - 1)};
        allowance.countElsewhere(others.count(meter.takeRecent(now), balance, seconds));
    }
};

/** The largest sum over eight seconds. */
double largestWindow(const std::vector<double> &byTick)
{
    constexpr std::size_t Window = 40;
    double largest = 0;
    for (std::size_t start = 0; start + Window <= byTick.size(); ++start) {
        double sum = 0;
        for (std::size_t i = start; i < start + Window; ++i)
            sum += byTick[i];
        largest = std::max(largest, sum);
    }
    return largest;
}

constexpr std::size_t TicksPerSecond = 5;

std::vector<Cell> startedFleet(Instant now)
{
    std::vector<Cell> fleet(Cells);
    for (Cell &cell : fleet) {
        cell.allowance.setMembers(Cells, Cells);
        cell.allowance.prepare({customer()}, now);
    }
    return fleet;
}

/**
 * What the fleet admits of a customer that asks for so much in each second. In the tick `killed`
 * all daemons start anew.
 */
std::vector<double> admittedBy(const std::vector<double> &wantedBySecond,
                               std::optional<std::size_t> killed = std::nullopt)
{
    HandClock clock;
    std::vector<Cell> fleet = startedFleet(clock.now());
    clock.advance(std::chrono::seconds(60));
    std::vector<double> byTick;
    for (std::size_t tick = 0; tick < wantedBySecond.size() * TicksPerSecond; ++tick) {
        if (tick == killed)
            fleet = startedFleet(clock.now());
        double sum = 0;
        const double wanted = wantedBySecond[tick / TicksPerSecond] / TicksPerSecond / Cells;
        for (Cell &cell : fleet)
            sum += cell.admit(wanted, clock.now());
        byTick.push_back(sum);
        for (std::size_t i = 0; i < Cells; ++i) {
            if ((tick + i) % TicksBetweenSummaries != 0)
                continue;
            for (Cell &other : fleet) {
                if (&other != &fleet[i])
                    other.others.note(static_cast<std::uint32_t>(i),
                                      fleet[i].meter.rates(10, clock.now()), clock.now());
            }
        }
        clock.advance(Tick);
        for (Cell &cell : fleet)
            cell.count(clock.now());
    }
    return byTick;
}

} // namespace

TEST_CASE("a customer that suddenly sends eight times as much keeps to its bound over all cells")
{
    // The customer hears "too many" while others are served. For a second or so no cell has been
    // told of the surge at the others.
    std::vector<double> wanted(10, 300'000);
    wanted.insert(wanted.end(), 20, 2'400'000);
    const CustomerRule rule = customer();
    const double bound = (rule.ratePerSecond * 8 + rule.burst) * 1.25 + 140'000;
    const std::vector<double> admitted = admittedBy(wanted);
    MESSAGE("admitted in 8 s: " << largestWindow(admitted) << " of " << bound);
    // A tenth is left for what isn't played here: requests of 60,000 tokens, daemons that freeze.
    CHECK(largestWindow(admitted) <= 0.9 * bound);
    // What it may have is given to it all the same.
    CHECK(largestWindow(admitted) >= 0.8 * bound);
}

TEST_CASE("a customer's bound holds though all daemons are killed in the middle of its surge")
{
    // The customer hears "too many" while others are served. Two seconds into its surge all daemons
    // are killed at once; what they had admitted is forgotten, and they begin with fresh buckets.
    // In a fleet of 89 daemons a customer got 9.6 million tokens in 8 s, of 9.0 million allowed:
    // 4.9 million in the two seconds before, while each cell still took the others' part for its
    // own, where the bucket holds 3.2 million.
    std::vector<double> wanted(10, 130'000);
    wanted.insert(wanted.end(), 10, 1'600'000);
    const CustomerRule rule = customer();
    const double bound = (rule.ratePerSecond * 8 + rule.burst) * 1.25 + 140'000;
    const std::vector<double> admitted = admittedBy(wanted, 12 * TicksPerSecond);
    MESSAGE("admitted in 8 s: " << largestWindow(admitted) << " of " << bound);
    CHECK(largestWindow(admitted) <= 0.95 * bound);
    double beforeKill = 0;
    for (std::size_t tick = 10 * TicksPerSecond; tick < 12 * TicksPerSecond; ++tick)
        beforeKill += admitted[tick];
    MESSAGE("admitted in the two seconds before: " << beforeKill);
}

TEST_CASE("a customer within its limit is never refused over cells")
{
    const std::vector<double> admitted = admittedBy(std::vector<double>(40, 380'000));
    double sum = 0;
    for (const double units : admitted)
        sum += units;
    // Whole requests of 2,000 units are asked for: 4 of 4.75 in each tick and cell.
    CHECK(sum == 40 * 5 * 8 * 4 * Units);
}

TEST_CASE("cells that were heard with another count, or long ago, say nothing")
{
    HandClock clock;
    OtherCellsUse use;
    use.note(1, {{5, 100}}, clock.now());
    use.note(6, {{5, 30}}, clock.now());
    CHECK(use.count({}, {1, 1}, 1) == std::vector<UseElsewhere> {{5, 130, 0, 0, 0}});
    use.forget(4, std::chrono::seconds(3), clock.now());
    CHECK(use.count({}, {1, 1}, 1) == std::vector<UseElsewhere> {{5, 100, 0, 0, 0}});
    clock.advance(std::chrono::seconds(4));
    use.forget(4, std::chrono::seconds(3), clock.now());
    CHECK(use.count({}, {1, 1}, 1).empty());
}

TEST_CASE("a cell of few daemons doesn't stand for the others")
{
    // Callers are served soon after all daemons were killed at once. The first that is up again
    // gets everybody's requests; if it took the others to admit as much each, it would shut the
    // customers out for seconds.
    const OtherCellsUse use;
    CHECK(use.count({{5, 1000, 500}}, {1, 60}, 1) == std::vector<UseElsewhere> {{5, 0, 0, 0, 0}});
    CHECK(use.count({{5, 1000, 500}}, {10, 60}, 1)
          == std::vector<UseElsewhere> {{5, 0, 5.4, 2700, 10800}});
}

TEST_CASE("a customer whose surge begins with the traffic keeps to its bound over 32 cells")
{
    // The customer hears "too many" while others are served. It sends three times its limit from
    // the first second on, a few large requests to each daemon, and its bucket is full. A cell
    // hears of the others' admissions when each of them has had its turn, up to 3.2 s later; until
    // then each takes the whole bucket for its own. A fleet of 195 daemons gave such a customer
    // 7,046,394 tokens in 8 s of 6,983,611 allowed.
    constexpr std::size_t ManyCells = 32;
    constexpr std::size_t TicksBetween = 16;
    constexpr double LargeUnits = 7000;
    constexpr double Wanted = 1'200'000;
    HandClock clock;
    std::vector<Cell> fleet(ManyCells);
    for (Cell &cell : fleet) {
        cell.allowance.setMembers(ManyCells, ManyCells);
        cell.allowance.prepare({customer()}, clock.now());
    }
    clock.advance(std::chrono::seconds(60));
    std::vector<double> byTick;
    double asked = 0;
    std::size_t next = 0;
    for (std::size_t tick = 0; tick < 12 * TicksPerSecond; ++tick) {
        double sum = 0;
        for (asked += Wanted / TicksPerSecond; asked >= LargeUnits; asked -= LargeUnits) {
            Cell &cell = fleet[next++ % ManyCells];
            if (!cell.allowance.tryTake(customer(), {LargeUnits}, clock.now()))
                continue;
            sum += LargeUnits;
            cell.meter.add(customerNumber(customer().name), LargeUnits, clock.now());
        }
        byTick.push_back(sum);
        for (std::size_t i = 0; i < ManyCells; ++i) {
            if ((tick + i) % TicksBetween != 0)
                continue;
            for (Cell &other : fleet) {
                if (&other != &fleet[i])
                    other.others.note(static_cast<std::uint32_t>(i),
                                      fleet[i].meter.rates(10, clock.now()), clock.now());
            }
        }
        clock.advance(Tick);
        for (Cell &cell : fleet) {
            const double seconds = std::chrono::duration<double>(Tick).count();
            const CellBalance balance {6, 6 * (ManyCells - 1)};
            cell.allowance.countElsewhere(
                cell.others.count(cell.meter.takeRecent(clock.now()), balance, seconds));
        }
    }
    const CustomerRule rule = customer();
    const double bound = (rule.ratePerSecond * 8 + rule.burst) * 1.25 + 140'000;
    MESSAGE("admitted in 8 s: " << largestWindow(byTick) << " of " << bound);
    CHECK(largestWindow(byTick) <= bound);
}
