#include <apricothook/fleetview/apricothook_view_age.hpp>

#include <algorithm>

namespace Apricothook {

void ViewAge::confirm(Instant time)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(time), time);
}

void ViewAge::confirm(const ViewReport &report, Revision own, Instant now)
{
    if (report.age != ViewReport::UnknownAge && report.revision <= own)
        confirm(now - std::chrono::milliseconds(report.age));
}

std::optional<Duration> ViewAge::age(Instant now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return std::max(now - *m_confirmedAt, Duration::zero());
}

ViewReport ViewAge::report(Revision revision, Instant now) const
{
    const std::optional<Duration> known = age(now);
    if (!known)
        return {revision, ViewReport::UnknownAge};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*known).count();
    return {
        revision,
        static_cast<std::uint32_t>(std::min<std::int64_t>(milliseconds, ViewReport::UnknownAge))};
}

} // namespace Apricothook
