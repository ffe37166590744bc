#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/requests/apricothook_due_queue.hpp>

#include <map>
#include <utility>
#include <vector>

namespace Apricothook {

/**
 * Tells homes how attempts ended, again and again until each has acknowledged. A report that got
 * lost would leave the key as running, and its resends would wait for an answer that never comes.
 */
class OutcomeReporter
{
public:
    void report(const OutcomeReport &report, const std::vector<MemberId> &homes, Instant now,
                Outbox &out);
    void acknowledged(const MemberId &from, const OutcomeAcknowledged &message);
    void tick(Instant now, Outbox &out);
    std::optional<Instant> nextDue() const { return m_due.next(); }
    /** Reports that a home is likely to acknowledge soon; a daemon that leaves waits for them. */
    std::size_t pending() const { return m_pending.size() - m_slow; }
    bool isPending(const AttemptId &attempt) const { return m_byAttempt.contains(attempt); }

private:
    struct Pending
    {
        OutcomeReport report;
        std::vector<MemberId> homes;
        std::uint32_t sends = 0;
    };
    void send(std::uint64_t id, Instant now, Outbox &out);
    void drop(std::uint64_t id);

    std::uint64_t m_lastId = 0;
    std::size_t m_slow = 0; ///< Pending reports whose homes have been silent for long.
    std::map<std::uint64_t, Pending> m_pending;
    std::map<AttemptId, std::uint64_t> m_byAttempt;
    DueQueue<std::uint64_t> m_due;
};

} // namespace Apricothook
