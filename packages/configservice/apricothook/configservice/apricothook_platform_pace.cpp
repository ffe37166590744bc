#include <apricothook/configservice/apricothook_platform_pace.hpp>

#include <algorithm>
#include <cstdint>

namespace Apricothook {

namespace {

/** Between half of the span and one and a half of it. */
Duration jittered(Duration span, RandomSource &random)
{
    const auto width = static_cast<std::uint64_t>(std::max<Duration::rep>(span.count(), 1));
    return span / 2 + Duration(static_cast<Duration::rep>(random.next() % width));
}

} // namespace

PlatformPace::PlatformPace(Duration spacing, const PlatformPaceLimits &limits)
    : m_spacing(spacing), m_limits(limits), m_retry(limits.firstRetry)
{
}

Duration PlatformPace::afterAnswer(RandomSource &random)
{
    m_retry = m_limits.firstRetry;
    return jittered(m_spacing, random);
}

Duration PlatformPace::afterFailure(RandomSource &random)
{
    const Duration wait = jittered(m_retry, random);
    m_retry = std::min(m_retry * 2, m_limits.lastRetry);
    return wait;
}

} // namespace Apricothook
