#include <apricothook_fault_bench.hpp>
#include <apricothook_fault_changes.hpp>

#include <doctest/doctest.h>

#include <string>

namespace Apricothook {

namespace {

using std::chrono::seconds;

constexpr Duration Pause = seconds(5);
constexpr Duration WithinSeconds = seconds(10);
constexpr std::size_t Reader = 0;
constexpr std::size_t Second = 1;
constexpr std::size_t Other = 3;

/** One change of the configuration on its way through four daemons, and a fault. */
class ChangeScenario
{
public:
    explicit ChangeScenario(ChangeStep step) : m_before(bench.published()) { reach(step); }

    void inject(ChangeFault fault);
    void conclude()
    {
        bench.tellsWatchers = true;
        bench.release();
        bench.mend();
        bench.advance(WithinSeconds);
    }
    /** Neither when daemons differ. */
    std::string observed();

    FaultBench bench;

private:
    void reach(ChangeStep step);
    void injectPlatformFault(ChangeFault fault);
    void restart(std::size_t daemon);
    void pause(std::size_t daemon);
    void nextChange();

    Generation m_before;
};

void ChangeScenario::reach(ChangeStep step)
{
    bench.tellsWatchers = step == ChangeStep::InForce;
    bench.text().classes.front().expectedTokens = 11;
    bench.publish();
    switch (step) {
    case ChangeStep::Published:
        return;
    case ChangeStep::ReadByOne:
        bench.cut({Reader});
        bench.giveText(Reader);
        bench.mend();
        return;
    case ChangeStep::Fetching:
        bench.holdsFetches = true;
        bench.giveText(Reader);
        return;
    case ChangeStep::HalfTaken:
        bench.cut({Reader, Second});
        bench.giveText(Reader);
        bench.advance(seconds(3));
        return;
    case ChangeStep::InForce:
        bench.advance(seconds(3));
    }
}

void ChangeScenario::restart(std::size_t daemon)
{
    bench.kill(daemon);
    bench.start(daemon);
}

void ChangeScenario::pause(std::size_t daemon)
{
    bench.pause(daemon);
    bench.advance(Pause);
    bench.wake(daemon);
}

void ChangeScenario::nextChange()
{
    bench.text().classes.front().expectedTokens = 12;
    bench.publish();
}

void ChangeScenario::injectPlatformFault(ChangeFault fault)
{
    switch (fault) {
    case ChangeFault::PlatformDown:
        bench.isPlatformUp = false;
        return;
    case ChangeFault::PlatformStale:
        bench.staleAt = m_before;
        return;
    case ChangeFault::DaemonJoinsPlatformStale:
        bench.staleAt = m_before;
        bench.joinAsSteward("booking");
        return;
    case ChangeFault::NextChangePlatformStale:
        bench.staleAt = bench.published();
        if (bench.core(Reader).generation() == m_before)
            bench.staleAt = m_before;
        nextChange();
        return;
    default:
        return;
    }
}

void ChangeScenario::inject(ChangeFault fault)
{
    injectPlatformFault(fault);
    switch (fault) {
    case ChangeFault::ReaderDies:
        return bench.kill(Reader);
    case ChangeFault::ReaderRestarts:
        return restart(Reader);
    case ChangeFault::ReaderStops:
        return bench.stop(Reader);
    case ChangeFault::ReaderPaused:
        return pause(Reader);
    case ChangeFault::OtherRestarts:
        return restart(Other);
    case ChangeFault::OtherPaused:
        return pause(Other);
    case ChangeFault::DaemonJoins:
        bench.joinAsSteward("booking");
        return;
    case ChangeFault::NoticesLost:
        return bench.rule<DigestReply>(LinkRule::Drop, 10);
    case ChangeFault::NoticesDoubled:
        bench.rule<DigestReply>(LinkRule::Double);
        return bench.rule<Probe>(LinkRule::Double);
    case ChangeFault::HalvesCut:
        bench.cut({Reader, Second});
        return bench.advance(Pause);
    case ChangeFault::NextChange:
        return nextChange();
    default:
        return;
    }
}

std::string ChangeScenario::observed()
{
    const Generation newest
        = bench.staleAt && *bench.staleAt > m_before ? *bench.staleAt : bench.published();
    std::size_t running = 0;
    std::size_t old = 0;
    std::size_t current = 0;
    for (std::size_t i = 0; i < bench.size(); ++i) {
        if (!bench.isAlive(i))
            continue;
        ++running;
        old += bench.core(i).generation() == m_before ? 1 : 0;
        current += bench.core(i).generation() == newest ? 1 : 0;
    }
    if (current == running)
        return std::string(nameOf(ChangeEnd::Everywhere));
    return old == running ? std::string(nameOf(ChangeEnd::Holds)) : "daemons differ";
}

void run(const ChangeRow &row, ChangeStep step)
{
    ChangeScenario scenario(step);
    scenario.inject(row.fault);
    scenario.conclude();
    const std::string cell
        = std::string(nameOf(row.fault)) + " at '" + std::string(nameOf(step)) + "'";
    INFO(cell);
    CHECK(scenario.observed() == nameOf(row.expected[static_cast<std::size_t>(step)]));
    for (const std::string &broken : scenario.bench.brokenPromises())
        FAIL_CHECK(broken);
}

} // namespace

TEST_SUITE("[faults]")
{
    // Operators publish a text, and a fault comes while it spreads. Ten seconds after the fault is
    // over every daemon has the newest text that anybody could read, or all keep the old one; none
    // ever goes back, and a daemon that starts doesn't begin with an older one than the others'.
    TEST_CASE("Every fault at every step of a change leaves one generation in force")
    {
        for (std::size_t i = 0; i < ChangeSteps; ++i) {
            const ChangeStep step = static_cast<ChangeStep>(i);
            SUBCASE(std::string(nameOf(step)).c_str())
            {
                for (const ChangeRow &row : changeRows())
                    run(row, step);
            }
        }
    }
}

} // namespace Apricothook
