#include <apricothook/paths/apricothook_reach_tester.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

ReachTester::ReachTester(EventLoop &loop, const TargetTable &targets, RandomSource &random,
                         std::string from)
    : m_loop(loop), m_targets(targets), m_random(random), m_from(std::move(from))
{
}

ReachTester::~ReachTester()
{
    for (auto &[target, test] : m_tests)
        m_loop.cancel(test.timer);
}

void ReachTester::test(const TargetEntry &target, Tested tested)
{
    const TargetInstance instance = target.instance();
    const auto running = m_tests.find(instance);
    if (running != m_tests.end()) {
        running->second.waiting.push_back(std::move(tested));
        return;
    }
    Test &test = m_tests[instance];
    test.waiting.push_back(std::move(tested));
    test.target = makeProbe(instance, target.address);
    std::vector<Endpoint> others = m_targets.addressesOfOthers(target.id);
    while (test.others.size() < OtherTargets && !others.empty()) {
        const auto chosen
            = others.begin() + static_cast<std::ptrdiff_t>(m_random.next() % others.size());
        test.others.push_back(makeProbe(instance, *chosen));
        others.erase(chosen);
    }
    concludeAfter(instance, ConnectionProbe::ProbeTime);
}

std::unique_ptr<ConnectionProbe> ReachTester::makeProbe(const TargetInstance &target,
                                                        const Endpoint &address)
{
    return std::make_unique<ConnectionProbe>(m_loop, address, m_from,
                                             [this, target] { onProbeChanged(target); });
}

void ReachTester::onProbeChanged(const TargetInstance &target)
{
    const auto found = m_tests.find(target);
    if (found == m_tests.end() || !found->second.target || !found->second.target->hasEnded())
        return;
    const std::vector<std::unique_ptr<ConnectionProbe>> &others = found->second.others;
    const bool reachesAnother
        = std::ranges::any_of(others, [](const std::unique_ptr<ConnectionProbe> &probe) {
              return probe->result() == ProbeResult::Kept;
          });
    const bool reachesNone
        = std::ranges::all_of(others, &ConnectionProbe::hasEnded,
                              [](const auto &probe) -> const ConnectionProbe & { return *probe; });
    if (reachesAnother || reachesNone)
        concludeAfter(target, Duration::zero());
}

void ReachTester::concludeAfter(const TargetInstance &target, Duration time)
{
    TimerId &timer = m_tests.at(target).timer;
    m_loop.cancel(timer);
    timer = m_loop.after(time, [this, target] { conclude(target); });
}

RelayOutcome ReachTester::outcomeOf(const Test &test)
{
    const ProbeResult result = test.target->result();
    if (result == ProbeResult::Kept)
        return RelayOutcome::Reached;
    const bool reachesOthers
        = std::ranges::any_of(test.others, [](const std::unique_ptr<ConnectionProbe> &probe) {
              return probe->result() == ProbeResult::Kept;
          });
    // Without any other target nothing could contradict this daemon's own finding.
    if (!reachesOthers && !test.others.empty())
        return RelayOutcome::NoPath;
    return result == ProbeResult::Refused ? RelayOutcome::TargetRefuses
                                          : RelayOutcome::TargetSilent;
}

void ReachTester::conclude(const TargetInstance &target)
{
    const auto found = m_tests.find(target);
    const Test test = std::move(found->second);
    m_tests.erase(found);
    const RelayOutcome outcome = outcomeOf(test);
    for (const Tested &tested : test.waiting)
        tested(outcome);
}

} // namespace Apricothook
