#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_pending_probes.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr int TimeoutsUntilFailure = 3;

bool hasFailed(const PendingProbe &probe, Instant now)
{
    const Duration wait = std::max<Duration>(ProbePeriod, TimeoutsUntilFailure * probe.timeout);
    return now - probe.sentAt >= wait;
}

} // namespace

void PendingProbes::add(PendingProbe probe)
{
    m_probes.push_back(std::move(probe));
}

std::optional<PendingProbe> PendingProbes::answer(std::uint64_t sequence, const MemberId &subject)
{
    const auto place
        = std::find_if(m_probes.begin(), m_probes.end(), [&](const PendingProbe &probe) {
              return probe.sequence == sequence && probe.subject.instance.member == subject;
          });
    if (place == m_probes.end())
        return std::nullopt;
    const PendingProbe probe = *place;
    m_probes.erase(place);
    return probe;
}

std::vector<PendingProbe> PendingProbes::takeOverdue(Instant now)
{
    std::vector<PendingProbe> overdue;
    for (PendingProbe &probe : m_probes) {
        if (probe.isIndirect || now - probe.sentAt < probe.timeout)
            continue;
        probe.isIndirect = true;
        overdue.push_back(probe);
    }
    return overdue;
}

std::vector<PendingProbe> PendingProbes::takeFailed(Instant now)
{
    std::vector<PendingProbe> failed;
    for (const PendingProbe &probe : m_probes)
        if (hasFailed(probe, now))
            failed.push_back(probe);
    std::erase_if(m_probes, [now](const PendingProbe &probe) { return hasFailed(probe, now); });
    return failed;
}

void PendingProbes::refresh(Instant now)
{
    for (PendingProbe &probe : m_probes)
        probe.sentAt = now;
}

} // namespace Apricothook
