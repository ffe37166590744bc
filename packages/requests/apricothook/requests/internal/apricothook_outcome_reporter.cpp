#include <apricothook/requests/internal/apricothook_outcome_reporter.hpp>

#include <apricothook/requests/internal/apricothook_resend_delay.hpp>

namespace Apricothook {

namespace {
// About half a minute: by then the home is dead, or cut off.
constexpr std::uint32_t QuickSends = 24;
// A home that was cut off for minutes must still hear that the key was answered: else it takes the
// key for running as long as this daemon lives, and a resend never gets the answer that is kept.
constexpr Duration SlowResend = std::chrono::seconds(15);
// Another ten minutes: the longest time for which homes and answers are kept by default.
constexpr std::uint32_t MaximumSends = QuickSends + 40;
} // namespace

void OutcomeReporter::report(const OutcomeReport &report, const std::vector<MemberId> &homes,
                             Instant now, Outbox &out)
{
    const auto earlier = m_byAttempt.find(report.attempt);
    if (earlier != m_byAttempt.end())
        drop(earlier->second);
    const std::uint64_t id = ++m_lastId;
    m_pending[id] = Pending {report, homes, 0};
    m_byAttempt[report.attempt] = id;
    send(id, now, out);
}

void OutcomeReporter::acknowledged(const MemberId &from, const OutcomeAcknowledged &message)
{
    const auto found = m_byAttempt.find(message.attempt);
    if (found == m_byAttempt.end())
        return;
    const std::uint64_t id = found->second;
    std::erase(m_pending[id].homes, from);
    if (m_pending[id].homes.empty())
        drop(id);
}

void OutcomeReporter::tick(Instant now, Outbox &out)
{
    while (const std::optional<std::uint64_t> id = m_due.popDue(now)) {
        if (m_pending[*id].sends >= MaximumSends)
            drop(*id);
        else
            send(*id, now, out);
    }
}

void OutcomeReporter::send(std::uint64_t id, Instant now, Outbox &out)
{
    Pending &pending = m_pending[id];
    for (const MemberId &home : pending.homes)
        out.push_back({home, pending.report});
    ++pending.sends;
    m_slow += pending.sends == QuickSends ? 1 : 0;
    const bool isSlow = pending.sends >= QuickSends;
    m_due.set(id, now + (isSlow ? SlowResend : resendDelay(pending.sends)));
}

void OutcomeReporter::drop(std::uint64_t id)
{
    m_slow -= m_pending[id].sends >= QuickSends ? 1 : 0;
    m_byAttempt.erase(m_pending[id].report.attempt);
    m_pending.erase(id);
    m_due.remove(id);
}

} // namespace Apricothook
