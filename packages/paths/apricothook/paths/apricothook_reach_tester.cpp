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
    test.target = std::make_unique<ConnectionProbe>(m_loop, target.address, m_from);
    std::vector<Endpoint> others = m_targets.addressesOfOthers(target.id);
    while (test.others.size() < OtherTargets && !others.empty()) {
        const auto chosen
            = others.begin() + static_cast<std::ptrdiff_t>(m_random.next() % others.size());
        test.others.push_back(std::make_unique<ConnectionProbe>(m_loop, *chosen, m_from));
        others.erase(chosen);
    }
    test.timer = m_loop.after(ConnectionProbe::ProbeTime, [this, instance] { conclude(instance); });
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
