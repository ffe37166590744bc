#include <apricothook/paths/apricothook_quiet_targets.hpp>

#include <algorithm>

namespace Apricothook {

void QuietTargets::recordSent(const TargetEntry &target, Instant now)
{
    Target &quiet = m_targets[target.instance()];
    if (quiet.owed++ > 0)
        return;
    quiet.entry = target;
    quiet.quietSince = now;
}

void QuietTargets::recordReceived(const TargetInstance &target, Instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.quietSince = now;
}

void QuietTargets::recordEnded(const TargetInstance &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && --found->second.owed == 0)
        m_targets.erase(found);
}

std::vector<TargetEntry> QuietTargets::takeDue(Instant now, std::size_t most)
{
    std::vector<Target *> due;
    for (auto &[instance, target] : m_targets) {
        if (now - target.quietSince >= QuietTime && now >= target.nextTest)
            due.push_back(&target);
    }
    std::ranges::sort(due, {}, &Target::quietSince);
    due.resize(std::min(due.size(), most));
    std::vector<TargetEntry> entries;
    for (Target *target : due) {
        target->nextTest = now + TestInterval;
        entries.push_back(target->entry);
    }
    return entries;
}

Duration QuietTargets::silence(const TargetInstance &target, Instant now) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? Duration() : now - found->second.quietSince;
}

} // namespace Apricothook
