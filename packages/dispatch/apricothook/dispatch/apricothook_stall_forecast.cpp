#include <apricothook/dispatch/apricothook_stall_forecast.hpp>

#include <algorithm>

namespace Apricothook {

StallForecast::StallForecast(Duration gapObjective, std::uint64_t promptTokens)
    : m_objective(std::chrono::duration<double, std::milli>(gapObjective).count())
    , m_promptTokens(promptTokens)
{
}

void StallForecast::addCandidate(const PromptBacklog &target)
{
    const double alone = pause({target.millisecondsPerToken, target.eventGap, 0});
    m_shortestPause = m_hasCandidate ? std::min(m_shortestPause, alone) : alone;
    m_hasCandidate = true;
}

double StallForecast::pause(const PromptBacklog &target) const
{
    const auto tokens = static_cast<double>(m_promptTokens + target.unreadTokens);
    return target.eventGap + tokens * target.millisecondsPerToken;
}

double StallForecast::limit() const
{
    return std::max(m_objective * PauseMargin, m_shortestPause * FastestTolerance);
}

bool StallForecast::isExceeded(const PromptBacklog &target) const
{
    return m_objective > 0 && pause(target) > limit();
}

} // namespace Apricothook
