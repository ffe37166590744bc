#pragma once

#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/gateway/internal/apricothook_attempt.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

#include <optional>
#include <string_view>

namespace Apricothook {

/** What the log lines of an attempt tell of its request. */
struct AttemptLogState
{
    const AdmittedRequest &request;
    Instant arrived {};
    /** Number of the request's content as a suspect. */
    std::uint64_t suspect = 0;
    RequestRank rank;
    TargetVersion beganVersion;
    std::optional<std::uint64_t> lastEvent;
    /** The decision of the target's limit; unset if it has none. */
    std::optional<LimitDecision> targetUnit;
    /** SlotFill::turnWait of the last placement. */
    std::optional<Duration> turnWait;
    unsigned sends = 0;
    unsigned runs = 0;
    bool mayHaveRun = false;
    bool isForwarded = false;
    bool isTrial = false;
};

/** Writes the log lines on the attempts of one request. */
class AttemptLog
{
public:
    AttemptLog(GatewayContext &context, const AttemptLogState &state)
        : m_context(context), m_state(state)
    {
    }

    void placed(const Attempt &attempt, bool isBackup);
    void failed(const Attempt &attempt, std::string_view cause, bool isBackup);
    /** The target's latest start is known now, and the attempt was sent after it. */
    void keptAtRestart(const Attempt &attempt, const TargetEntry &current);
    /** `decision`: what is done, or why nothing is. */
    void silent(const Attempt &attempt, Duration silence, Duration limit,
                std::string_view decision);
    void backupRefused(const Attempt &silent, std::string_view cause);
    void backupEnded(std::string_view outcome, const Attempt &kept, const Attempt &cancelled);

private:
    LogEvent line(GatewayEvent event, const Attempt &attempt) const;

    GatewayContext &m_context;
    const AttemptLogState m_state;
};

} // namespace Apricothook
