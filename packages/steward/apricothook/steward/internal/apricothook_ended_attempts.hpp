#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/steward/apricothook_steward_policy.hpp>

#include <deque>
#include <optional>
#include <unordered_map>

namespace Apricothook {

/** Hashes an attempt for tables of a daemon. */
struct AttemptHash
{
    std::size_t operator()(const AttemptId &attempt) const noexcept
    {
        constexpr std::size_t Spread = 0x9e3779b97f4a7c15ULL;
        std::size_t hash = std::hash<std::string>()(attempt.entry.member.text());
        hash = (hash ^ attempt.entry.incarnation.value()) * Spread;
        hash = (hash ^ attempt.exchange.value()) * Spread;
        return (hash ^ attempt.attempt) * Spread;
    }
};

/**
 * Attempts that have ended, and how they were refused. Messages come doubled and out of order: a
 * request that arrives after its cancel would take a slot for nobody if it weren't known here.
 */
class EndedAttempts
{
public:
    explicit EndedAttempts(const StewardPolicy &policy) : m_policy(policy) { }
    void add(const AttemptId &attempt, std::optional<ReserveReply> refusal, Instant now);
    bool contains(const AttemptId &attempt) const { return m_ended.contains(attempt); }
    /** The refusal to send again; null when there was none. */
    const ReserveReply *refusal(const AttemptId &attempt) const;
    void forgetOld(Instant now);

private:
    struct Old
    {
        AttemptId attempt;
        Instant at;
    };

    const StewardPolicy &m_policy;
    std::unordered_map<AttemptId, std::optional<ReserveReply>, AttemptHash> m_ended;
    std::deque<Old> m_order;
};

} // namespace Apricothook
