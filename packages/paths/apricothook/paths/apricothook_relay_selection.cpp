#include <apricothook/paths/apricothook_relay_selection.hpp>

#include <algorithm>
#include <limits>

namespace Apricothook {

bool RelaySelection::isProven(const Endpoint &relay, Instant now) const
{
    const auto found = m_states.find(relay);
    return found != m_states.end() && found->second.proven
        && now - *found->second.proven <= ProofTime && found->second.pausedUntil <= now;
}

int RelaySelection::crossings(const RelayCandidate &candidate, const DataCentreId &target) const
{
    return (candidate.dataCentre == m_ownDataCentre ? 0 : 1)
        + (candidate.dataCentre == target ? 0 : 1);
}

std::optional<Endpoint> RelaySelection::choose(const std::vector<RelayCandidate> &candidates,
                                               const DataCentreId &target, Instant now)
{
    std::vector<Endpoint> nearest;
    int fewest = std::numeric_limits<int>::max();
    for (const RelayCandidate &candidate : candidates) {
        const int distance = crossings(candidate, target);
        if (distance > fewest || !isProven(candidate.address, now))
            continue;
        if (distance < fewest)
            nearest.clear();
        fewest = distance;
        nearest.push_back(candidate.address);
    }
    if (nearest.empty())
        return std::nullopt;
    return nearest[m_random.next() % nearest.size()];
}

std::vector<Endpoint> RelaySelection::choosePanel(const std::vector<RelayCandidate> &candidates,
                                                  std::size_t most)
{
    std::map<DataCentreId, std::vector<Endpoint>> byDataCentre;
    for (const RelayCandidate &candidate : candidates)
        byDataCentre[candidate.dataCentre].push_back(candidate.address);
    std::vector<Endpoint> panel;
    while (panel.size() < most && !byDataCentre.empty()) {
        for (auto &[dataCentre, addresses] : byDataCentre) {
            if (panel.size() == most)
                break;
            const auto chosen = addresses.begin()
                + static_cast<std::ptrdiff_t>(m_random.next() % addresses.size());
            panel.push_back(*chosen);
            addresses.erase(chosen);
        }
        std::erase_if(byDataCentre, [](const auto &entry) { return entry.second.empty(); });
    }
    return panel;
}

void RelaySelection::record(const Endpoint &relay, RelayOutcome outcome, Instant now)
{
    State &state = m_states[relay];
    switch (outcome) {
    case RelayOutcome::Reached:
        state = {now, {}};
        return;
    case RelayOutcome::UnknownTarget:
        return;
    case RelayOutcome::TargetRefuses:
    case RelayOutcome::TargetSilent:
        state.proven.reset();
        return;
    case RelayOutcome::NoPath:
    case RelayOutcome::Busy:
    case RelayOutcome::Failed:
        state = {std::nullopt, now + FailurePause};
        return;
    }
}

} // namespace Apricothook
