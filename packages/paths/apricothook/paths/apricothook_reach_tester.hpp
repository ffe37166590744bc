#pragma once

#include <apricothook/dispatch/apricothook_target_table.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/paths/apricothook_connection_probe.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Apricothook {

/**
 * Tests for another daemon whether this one reaches a target.
 *
 * Other targets are tested with it: if none of them is reached either, this daemon may have lost
 * its paths and can't tell anything about the target.
 */
class ReachTester
{
public:
    /** Other targets that are tested. */
    static constexpr std::size_t OtherTargets = 2;

    using Tested = std::function<void(RelayOutcome outcome)>;

    /** `from`: address of this VM to connect from. */
    ReachTester(EventLoop &loop, const TargetTable &targets, RandomSource &random,
                std::string from);
    ~ReachTester();
    ReachTester(const ReachTester &) = delete;
    ReachTester &operator=(const ReachTester &) = delete;

    /** Calls `tested` once the probes tell enough, or after their time. Tests of the same target
     * are combined. */
    void test(const TargetEntry &target, Tested tested);

private:
    struct Test
    {
        std::unique_ptr<ConnectionProbe> target;
        std::vector<std::unique_ptr<ConnectionProbe>> others;
        std::vector<Tested> waiting;
        TimerId timer = 0;
    };

    std::unique_ptr<ConnectionProbe> makeProbe(const TargetInstance &target,
                                               const Endpoint &address);
    void onProbeChanged(const TargetInstance &target);
    void concludeAfter(const TargetInstance &target, Duration time);
    void conclude(const TargetInstance &target);
    static RelayOutcome outcomeOf(const Test &test);

    EventLoop &m_loop;
    const TargetTable &m_targets;
    RandomSource &m_random;
    const std::string m_from;
    std::map<TargetInstance, Test> m_tests;
};

} // namespace Apricothook
