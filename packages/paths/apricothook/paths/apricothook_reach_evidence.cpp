#include <apricothook/paths/apricothook_reach_evidence.hpp>

namespace Apricothook {

std::string_view nameOf(ProbeResult result)
{
    switch (result) {
    case ProbeResult::Kept:
        return "kept";
    case ProbeResult::Refused:
        return "refused";
    case ProbeResult::Silent:
        break;
    }
    return "silent";
}

std::string_view nameOf(ReachVerdict verdict)
{
    switch (verdict) {
    case ReachVerdict::Here:
        return "here";
    case ReachVerdict::Elsewhere:
        return "elsewhere";
    case ReachVerdict::Refused:
        return "refused";
    case ReachVerdict::Silent:
        return "silent";
    case ReachVerdict::Unknown:
        break;
    }
    return "unknown";
}

void ReachEvidence::add(RelayOutcome outcome)
{
    switch (outcome) {
    case RelayOutcome::Reached:
        ++reached;
        return;
    case RelayOutcome::TargetRefuses:
        ++refused;
        return;
    case RelayOutcome::TargetSilent:
        ++silent;
        return;
    case RelayOutcome::NoPath:
    case RelayOutcome::UnknownTarget:
    case RelayOutcome::Busy:
    case RelayOutcome::Failed:
        ++uninformed;
        return;
    }
}

ReachVerdict verdictOf(const ReachEvidence &evidence)
{
    if (evidence.own == ProbeResult::Kept)
        return ReachVerdict::Here;
    if (evidence.reached > 0)
        return ReachVerdict::Elsewhere;
    if (evidence.isAlone)
        return evidence.own == ProbeResult::Refused ? ReachVerdict::Refused : ReachVerdict::Silent;
    if (evidence.refused > evidence.silent + evidence.uninformed)
        return ReachVerdict::Refused;
    const bool isSilent = evidence.silent > evidence.refused + evidence.uninformed;
    return isSilent ? ReachVerdict::Silent : ReachVerdict::Unknown;
}

} // namespace Apricothook
