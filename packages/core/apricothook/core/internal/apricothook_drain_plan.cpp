#include <apricothook/core/internal/apricothook_drain_plan.hpp>

namespace Apricothook {

void DrainPlan::begin(Instant now, Duration keptLookups)
{
    if (m_stage != Stage::Serving)
        return;
    m_stage = Stage::Leaving;
    m_closeAt = now + keptLookups;
}

bool DrainPlan::advance(Instant now, std::size_t openWork)
{
    if (m_stage == Stage::Leaving && now >= m_closeAt) {
        m_stage = Stage::Closed;
        return true;
    }
    if (m_stage == Stage::Closed && openWork == 0) {
        m_stage = Stage::Done;
        return true;
    }
    return false;
}

std::optional<Instant> DrainPlan::nextDue() const
{
    if (m_stage != Stage::Leaving)
        return std::nullopt;
    return m_closeAt;
}

} // namespace Apricothook
