#include <apricothook_emulated_limits.hpp>

#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/dispatch/apricothook_return_schedule.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Rate = 100'000;
constexpr double Units = 5000;
/** Time in which the rate provides the units of one request. */
constexpr milliseconds Gap {50};

FleetBounds bounds()
{
    FleetBounds bounds;
    bounds.customerOvershoot = 0.25;
    return bounds;
}

CustomerRule carrier()
{
    CustomerRule rule;
    rule.name = CustomerId("carrier");
    rule.unit = LimitUnit::Tokens;
    rule.ratePerSecond = Rate;
    rule.burst = Rate;
    return rule;
}

/**
 * A customer's callers: each sends a request to a random daemon and, if refused, sends it once more
 * at the time that it is told.
 */
class RetryingCallers
{
public:
    RetryingCallers(EmulatedLimits &fleet, Duration patience) : m_fleet(fleet), m_patience(patience)
    {
        m_fleet.onRefused
            = [this](std::size_t, const LimitDecision &decision) { onRefused(decision); };
    }
    ~RetryingCallers() { m_fleet.onRefused = nullptr; }
    RetryingCallers(const RetryingCallers &) = delete;
    RetryingCallers &operator=(const RetryingCallers &) = delete;

    void setRate(double unitsPerSecond) { m_perStep = unitsPerSecond / 1000; }
    void step()
    {
        for (; !m_returns.empty() && m_returns.begin()->first <= m_fleet.now();
             m_returns.erase(m_returns.begin()))
            m_fleet.send(randomDaemon(), 0, Units, true);
        for (m_dueUnits += m_perStep; m_dueUnits >= Units; m_dueUnits -= Units)
            m_fleet.send(randomDaemon(), 0, Units);
    }
    void run(Duration time)
    {
        m_fleet.run(time, [this] { step(); });
    }
    /** Times that refused callers were told, in the order of the refusals. */
    const std::vector<Duration> &told() const { return m_told; }
    void clearTold() { m_told.clear(); }

private:
    std::size_t randomDaemon() { return m_fleet.random.next() % m_fleet.size(); }
    void onRefused(const LimitDecision &decision)
    {
        // As ForwardedRequest tells the caller.
        const Duration latest = Dispatcher::latestRetry(m_patience);
        const Duration told = std::max<Duration>(std::min(decision.retryAfter, latest),
                                                 ReturnSchedule::ShortestReturn);
        m_told.push_back(told);
        m_returns.emplace(m_fleet.now() + told, 0);
    }

    EmulatedLimits &m_fleet;
    const Duration m_patience;
    double m_perStep = 0;
    double m_dueUnits = 0;
    std::multimap<Instant, int> m_returns;
    std::vector<Duration> m_told;
};

/** The counts of a customer that sends five times its limit for some seconds and then half of it.
 */
LimitCounts surge(bool schedulesReturns, Duration patience, std::uint64_t seed)
{
    EmulatedLimits fleet(12, {carrier()}, bounds(), seed);
    fleet.setSchedulesReturns(schedulesReturns);
    fleet.run(seconds(14));
    RetryingCallers callers(fleet, patience);
    callers.setRate(5 * Rate);
    callers.run(seconds(5));
    callers.setRate(0.5 * Rate);
    callers.run(seconds(8));
    fleet.run(seconds(1));
    CHECK(fleet.worstRatio(0) <= 1);
    return fleet.counts(0);
}

double refusedFraction(const LimitCounts &counts)
{
    return static_cast<double>(counts.refusedRetries) / static_cast<double>(counts.retries);
}

} // namespace

TEST_CASE("a single refused caller is told when the bucket has its units")
{
    // A customer slightly over its limit must not be kept waiting by a schedule of earlier
    // refusals whose retries have come.
    ReturnSchedule schedule;
    const Instant start {seconds(100)};
    CHECK(schedule.schedule(Units, milliseconds(30), Rate, start).wait == milliseconds(30));
    const Instant later = start + milliseconds(400);
    CHECK(schedule.promisedUnits(later) == 0);
    CHECK(schedule.schedule(Units, milliseconds(20), Rate, later).wait == milliseconds(20));
}

TEST_CASE("callers refused at once are told to retry one after the other")
{
    // Otherwise all of them come back for the units of one request.
    ReturnSchedule schedule;
    const Instant now {seconds(100)};
    for (int earlier = 0; earlier < 40; ++earlier) {
        const ScheduledReturn retry = schedule.schedule(Units, Gap, Rate, now);
        CHECK(retry.wait == Gap * (earlier + 1));
        CHECK(retry.promisedUnits == Units * earlier);
    }
}

TEST_CASE("a retry is expected until some milliseconds after the time that its caller was told")
{
    // If its units were dropped exactly then, they would be promised again before it has come.
    ReturnSchedule schedule;
    const Instant start {seconds(100)};
    schedule.schedule(Units, milliseconds(250), Rate, start);
    CHECK(schedule.promisedUnits(start + milliseconds(250)) == Units);
    CHECK(schedule.promisedUnits(start + milliseconds(400)) == 0);
}

TEST_CASE("no more units are promised than the rate provides in the longest time that is told")
{
    // A customer far over its limit for minutes would otherwise fill the schedule for minutes.
    ReturnSchedule schedule;
    const double most = Rate * 5;
    Instant now {seconds(100)};
    for (int refused = 0; refused < 20'000; ++refused, now += milliseconds(1)) {
        const ScheduledReturn retry = schedule.schedule(Units, Gap, Rate, now);
        CHECK(retry.promisedUnits <= most);
        CHECK(retry.wait <= Dispatcher::LongestRetryAfter + Gap);
    }
    CHECK(schedule.promisedUnits(now) > 0.9 * most);
    CHECK(schedule.promisedUnits(now + seconds(6)) == 0);
    CHECK(schedule.promisedUnits(now + std::chrono::hours(5)) == 0);
}

TEST_CASE("a bucket that gains no units has no schedule")
{
    // A limit whose rate is zero for now must not divide by it.
    ReturnSchedule schedule;
    const Instant now {seconds(100)};
    CHECK(schedule.schedule(Units, Duration::zero(), 0, now) == ScheduledReturn {});
    CHECK(schedule.promisedUnits(now) == 0);
}

TEST_CASE("only limits of customers schedule retries")
{
    // Requests that a target's limit holds wait in the daemon for the next unit.
    CHECK(!targetBudget(100, bounds()).schedulesReturns);
    CHECK(!rejectionBudget(100).schedulesReturns);
    CHECK(budgetsOf({carrier()}, bounds()).begin()->second.schedulesReturns);
    CHECK(!budgetsOf({carrier()}, bounds(), false).begin()->second.schedulesReturns);
}

TEST_CASE("fewer retries are refused after a customer asked five times its limit for some seconds")
{
    // Without a schedule nearly all refused callers come back within 0.1 s and are refused again.
    for (const Duration patience :
         {Duration(seconds(3)), Duration(seconds(6)), Duration(seconds(30))}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            CAPTURE(patience.count());
            CAPTURE(seed);
            const LimitCounts without = surge(false, patience, seed);
            const LimitCounts with = surge(true, patience, seed);
            MESSAGE("patience " << patience.count() / 1'000'000 << " s: refused of the retries "
                                << refusedFraction(without) << " without, " << refusedFraction(with)
                                << " with the schedule; admitted units " << without.admittedUnits
                                << ", " << with.admittedUnits);
            CHECK(refusedFraction(with) < refusedFraction(without));
            CHECK(with.refusedRetries < without.refusedRetries);
            CHECK(with.admittedUnits >= without.admittedUnits);
        }
    }
}

TEST_CASE("a customer slightly over its limit is told to retry within some tenths of a second")
{
    // The schedule must not send callers away for seconds when few are refused.
    EmulatedLimits fleet(12, {carrier()}, bounds(), 4);
    fleet.run(seconds(14));
    RetryingCallers callers(fleet, seconds(30));
    callers.setRate(1.1 * Rate);
    callers.run(seconds(30));
    REQUIRE(!callers.told().empty());
    const auto longest = *std::ranges::max_element(callers.told());
    MESSAGE(callers.told().size() << " refused, longest time " << longest.count() / 1000 << " ms");
    CHECK(longest <= milliseconds(700));
}

TEST_CASE("a grantor's successor starts without a schedule and still tells callers a time")
{
    // The grantor dies in the middle of a surge. Its schedule is lost: callers are told to retry
    // early, as without one, and what the limit admits doesn't change.
    EmulatedLimits fleet(12, {carrier()}, bounds(), 5);
    fleet.run(seconds(14));
    RetryingCallers callers(fleet, seconds(30));
    callers.setRate(5 * Rate);
    callers.run(seconds(4));
    REQUIRE(fleet.grantor(0).has_value());
    REQUIRE(callers.told().back() > seconds(4));
    const std::size_t former = *fleet.grantor(0);
    fleet.kill(former);
    for (int waits = 0; waits < 3000 && !fleet.grantor(0); ++waits)
        callers.run(milliseconds(1));
    REQUIRE(fleet.grantor(0).has_value());
    CHECK(*fleet.grantor(0) != former);
    callers.clearTold();
    callers.run(milliseconds(500));
    REQUIRE(!callers.told().empty());
    CHECK(callers.told().front() <= seconds(1));
    const auto [shortest, longest] = std::ranges::minmax(callers.told());
    CHECK(shortest >= ReturnSchedule::ShortestReturn);
    CHECK(longest > shortest);
    callers.setRate(0.5 * Rate);
    callers.run(seconds(8));
    CHECK(fleet.worstRatio(0) <= 1);
}
