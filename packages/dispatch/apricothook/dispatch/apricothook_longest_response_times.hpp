#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>

namespace Apricothook {

/**
 * The longest recent time from a request's arrival to the end of its response, by route.
 *
 * Tells a process that is about to end which requests it can still complete, so it goes by the
 * longest time, not the mean.
 */
class LongestResponseTimes
{
public:
    /** Times are remembered for one to two windows. */
    static constexpr std::chrono::minutes Window {2};
    /** With fewer complete responses the longest time of a route isn't known. */
    static constexpr unsigned FewestSamples = 20;

    void recordComplete(const ClassId &route, Duration taken, Instant now);
    /** A response that isn't complete took longer than that. */
    void recordIncomplete(const ClassId &route, Duration taken, Instant now);
    std::optional<Duration> longest(const ClassId &route, Instant now) const;

private:
    struct Samples
    {
        unsigned count = 0;
        Duration longest {};
    };
    using Routes = std::map<ClassId, Samples>;

    Samples &samplesOf(const ClassId &route, Instant now);
    static void add(Samples &sum, const Routes &routes, const ClassId &route);

    Routes m_current;
    Routes m_previous;
    Instant m_since {};
};

} // namespace Apricothook
