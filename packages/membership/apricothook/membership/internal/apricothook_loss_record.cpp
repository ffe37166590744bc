#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_loss_record.hpp>

#include <algorithm>

namespace Apricothook {

void LossRecord::add(const MemberId &member, const DataCentreId &dataCentre, Instant now)
{
    m_losses[member] = {dataCentre, now};
}

void LossRecord::remove(const MemberId &member)
{
    m_losses.erase(member);
}

double LossRecord::share(std::size_t visible, Instant now)
{
    std::erase_if(m_losses, [now](const auto &pair) { return pair.second.at + LossWindow < now; });
    const std::size_t lost = m_losses.size();
    const std::size_t all = visible + lost;
    const bool isMany = 3 * lost > all;
    const bool isHalfAtMost = 2 * lost <= all;
    if (!isMany || (isHalfAtMost && isOneDataCentre()))
        return 1;
    return static_cast<double>(visible) / static_cast<double>(all);
}

bool LossRecord::isOneDataCentre() const
{
    return std::all_of(m_losses.begin(), m_losses.end(), [this](const auto &pair) {
        return pair.second.dataCentre == m_losses.begin()->second.dataCentre;
    });
}

} // namespace Apricothook
