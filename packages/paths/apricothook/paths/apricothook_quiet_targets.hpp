#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/**
 * Targets that owe this daemon answers, and when a byte of any of them was last received.
 *
 * A target that computes is as quiet as one whose path carries nothing, so quiet ones are tested,
 * the quietest first. Any byte of a target proves its path.
 */
class QuietTargets
{
public:
    /** Silence after which a path is tested while an answer is owed. */
    static constexpr std::chrono::milliseconds QuietTime {150};
    /** Interval of the tests of one target that stays quiet. */
    static constexpr std::chrono::seconds TestInterval {1};

    void recordSent(const TargetEntry &target, Instant now);
    void recordReceived(const TargetInstance &target, Instant now);
    /** An answer is no longer owed. */
    void recordEnded(const TargetInstance &target);
    void forget(const TargetInstance &target) { m_targets.erase(target); }

    bool isEmpty() const { return m_targets.empty(); }
    /** Up to `most` targets whose paths are to be tested now; their next tests are due later. */
    std::vector<TargetEntry> takeDue(Instant now, std::size_t most);
    /** Time since a byte of the target was received or an answer was first owed. */
    Duration silence(const TargetInstance &target, Instant now) const;

private:
    struct Target
    {
        TargetEntry entry;
        std::size_t owed = 0;
        Instant quietSince {};
        Instant nextTest {};
    };

    std::map<TargetInstance, Target> m_targets;
};

} // namespace Apricothook
