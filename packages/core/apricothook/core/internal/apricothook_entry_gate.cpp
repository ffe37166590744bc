#include <apricothook/core/internal/apricothook_entry_gate.hpp>

namespace Apricothook {

namespace {
// The connections of one crash all break within this; what ends later is another crash.
constexpr Duration OneCrash = std::chrono::seconds(2);
} // namespace

std::optional<Refusal> EntryGate::admit(const CustomerId &customer, Instant now)
{
    const Result<Admitted, Limited> admitted = m_limits.admit(customer, now);
    if (admitted)
        return std::nullopt;
    return Refusal {RefusalReason::CustomerLimit, Outcome::NotRun, admitted.error().retryAfter};
}

bool EntryGate::isQuarantined(Fingerprint fingerprint, Instant now)
{
    return m_suspects.check(fingerprint, now) == SuspectVerdict::Quarantined;
}

std::vector<TargetId> EntryGate::excludedFor(Fingerprint fingerprint, Instant)
{
    return m_suspects.excludedTargets(fingerprint);
}

void EntryGate::runStarted(Fingerprint fingerprint, const TargetId &target, Instant)
{
    ++m_runs[target].running[fingerprint];
}

void EntryGate::runEnded(Fingerprint fingerprint, const TargetId &target, RunEnd end, Instant now,
                         Outbox &out)
{
    Runs &runs = m_runs[target];
    if (end == RunEnd::Crashed && now - runs.crashedAt > OneCrash) {
        runs.crashedAt = now;
        TargetCrash crash {target, {}};
        for (const auto &[running, count] : runs.running)
            crash.running.push_back(running);
        m_suspects.recordCrash(crash, now, out);
    }
    if (end == RunEnd::Answered)
        m_suspects.recordAnswer(fingerprint, now);
    const auto found = runs.running.find(fingerprint);
    if (found != runs.running.end() && --found->second == 0)
        runs.running.erase(found);
}

} // namespace Apricothook
