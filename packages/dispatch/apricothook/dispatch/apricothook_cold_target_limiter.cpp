#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Apricothook {

std::string_view nameOf(ColdView view)
{
    switch (view) {
    case ColdView::Alone:
        return "alone";
    case ColdView::Doubtful:
        return "doubtful";
    case ColdView::Outside:
        return "outside";
    case ColdView::Main:
        break;
    }
    return "main";
}

ColdTargetLimiter::ColdTargetLimiter(std::uint64_t self, const FleetBounds &bounds)
    : m_self(self), m_bounds(bounds), m_fleet {{self}, ColdView::Main}
{
}

void ColdTargetLimiter::setServices(const std::vector<ServiceRule> &services)
{
    m_rules.clear();
    for (const ServiceRule &service : services) {
        if (service.coldPerSecond <= 0)
            continue;
        const double bound = service.coldPerSecond * m_bounds.coldOvershoot + m_bounds.coldSlack;
        constexpr double Largest = std::numeric_limits<std::int32_t>::max();
        const double most = std::min({service.coldPerSecond, bound / Senders, Largest});
        m_rules[service.name] = {service.coldTime, static_cast<std::uint32_t>(most)};
    }
}

bool ColdTargetLimiter::setFleet(ColdTargetSenders fleet)
{
    if (fleet == m_fleet)
        return false;
    m_fleet = std::move(fleet);
    return true;
}

std::uint32_t ColdTargetLimiter::before(std::uint64_t target) const
{
    const auto weight = [target](std::uint64_t member) {
        return std::pair(rendezvousWeight(target, member), member);
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(
        m_fleet.members, [&](std::uint64_t member) { return weight(member) > weight(m_self); }));
}

std::uint32_t ColdTargetLimiter::mostInSecond(const ServiceId &service, std::uint64_t target,
                                              bool isCold) const
{
    const Rule *rule = ruleOf(service);
    if (!rule || (!isCold && !doubtsAll()))
        return Unlimited;
    switch (m_fleet.view) {
    case ColdView::Alone:
    case ColdView::Outside:
        return 0;
    case ColdView::Doubtful:
        return before(target) < rule->mostInSecond ? 1 : 0;
    case ColdView::Main:
        break;
    }
    return before(target) == 0 ? rule->mostInSecond : 0;
}

const ColdTargetLimiter::Rule *ColdTargetLimiter::ruleOf(const ServiceId &service) const
{
    const auto found = m_rules.find(service);
    return found == m_rules.end() ? nullptr : &found->second;
}

Duration ColdTargetLimiter::coldTime(const ServiceId &service) const
{
    const Rule *rule = ruleOf(service);
    return rule ? rule->coldTime : Duration::zero();
}

bool ColdTargetLimiter::isBounded(const ServiceId &service) const
{
    return ruleOf(service) != nullptr;
}

} // namespace Apricothook
