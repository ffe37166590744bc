#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>
#include <string_view>

namespace Apricothook {

/** What a daemon believes of its own path to a target. */
enum class PathState {
    Trusted,
    Doubtful, ///< Another path was lost, and this one hasn't been tested since.
    Lost,     ///< Another daemon reached the target when this one didn't.
};

std::string_view nameOf(PathState state);

/**
 * This daemon's paths to targets. They say nothing about the targets: a path is lost only if
 * another daemon reaches its target, so the failure of a target never looks like that of a path.
 */
class TargetPaths
{
public:
    /** Interval of the tests of a path that isn't trusted, while requests need it. */
    static constexpr std::chrono::milliseconds TestInterval {500};
    /** After a loss, further ones don't make tested paths doubtful again for this time. */
    static constexpr std::chrono::seconds DoubtInterval {2};

    PathState state(const TargetInstance &target) const;
    /** The path carries connections. Returns the time for which it was lost, if it was. */
    std::optional<Duration> recordReached(const TargetInstance &target, Instant now);
    /** Returns false if the path was known to be lost. */
    bool recordLost(const TargetInstance &target, Instant now);
    /** Whether a test is due; if so, the next one is due after TestInterval. */
    bool takeTest(const TargetInstance &target, Instant now);
    /** When the path was found lost; empty if it isn't. */
    std::optional<Instant> lostSince(const TargetInstance &target) const;
    std::size_t lostCount() const;
    void forget(const TargetInstance &target);

private:
    struct Path
    {
        Instant reached {};
        Instant tested {};
        std::optional<Instant> lost;
    };

    void endDoubtIfNoneIsLost();

    std::map<TargetInstance, Path> m_paths;
    /** Paths that weren't reached since this time are doubtful while any path is lost. */
    std::optional<Instant> m_doubtSince;
};

} // namespace Apricothook
