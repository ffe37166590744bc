#include <apricothook/paths/apricothook_target_paths.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

std::string_view nameOf(PathState state)
{
    switch (state) {
    case PathState::Trusted:
        return "trusted";
    case PathState::Doubtful:
        return "doubtful";
    case PathState::Lost:
        break;
    }
    return "lost";
}

PathState TargetPaths::state(const TargetInstance &target) const
{
    const auto found = m_paths.find(target);
    if (found != m_paths.end() && found->second.lost)
        return PathState::Lost;
    const bool wasReached
        = found != m_paths.end() && m_doubtSince && found->second.reached >= *m_doubtSince;
    return m_doubtSince && !wasReached ? PathState::Doubtful : PathState::Trusted;
}

std::optional<Duration> TargetPaths::recordReached(const TargetInstance &target, Instant now)
{
    Path &path = m_paths[target];
    path.reached = now;
    const std::optional<Instant> lost = std::exchange(path.lost, std::nullopt);
    if (!lost)
        return std::nullopt;
    endDoubtIfNoneIsLost();
    return now - *lost;
}

void TargetPaths::forget(const TargetInstance &target)
{
    m_paths.erase(target);
    endDoubtIfNoneIsLost();
}

void TargetPaths::endDoubtIfNoneIsLost()
{
    if (lostCount() == 0)
        m_doubtSince.reset();
}

bool TargetPaths::recordLost(const TargetInstance &target, Instant now)
{
    Path &path = m_paths[target];
    if (path.lost)
        return false;
    path.lost = now;
    if (!m_doubtSince || now - *m_doubtSince >= DoubtInterval)
        m_doubtSince = now;
    return true;
}

bool TargetPaths::takeTest(const TargetInstance &target, Instant now)
{
    Path &path = m_paths[target];
    if (now - path.tested < TestInterval)
        return false;
    path.tested = now;
    return true;
}

std::optional<Instant> TargetPaths::lostSince(const TargetInstance &target) const
{
    const auto found = m_paths.find(target);
    return found == m_paths.end() ? std::nullopt : found->second.lost;
}

std::size_t TargetPaths::lostCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_paths, [](const auto &entry) { return entry.second.lost.has_value(); }));
}

} // namespace Apricothook
