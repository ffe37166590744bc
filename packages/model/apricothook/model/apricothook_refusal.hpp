#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <compare>
#include <optional>
#include <string_view>

namespace Apricothook {

/** Whether a request without an answer may have been executed. */
enum class Outcome {
    NotRun,  ///< Never sent to a target, or the target reported that it did not execute it.
    Unknown, ///< It may have been executed, partly or completely.
};

/** Why a request was refused. Each reason has one HTTP status and one problem type. */
enum class RefusalReason {
    BadRequest,
    Unauthorized,
    UnknownService,
    UnknownClass,
    UnknownKey,
    BodyTooLarge,
    HeadersTooLarge,
    BodyTimeout,
    KeyConflict,    ///< The key was used with a different body or by another customer.
    AlreadyRunning, ///< The key was granted before and its answer isn't available yet.
    AnswerGone,     ///< The request has completed, but its answer is no longer kept.
    CustomerLimit,
    TooManyConnections,
    Shed,             ///< Requests of the same or a higher tier occupy the targets.
    NoTarget,         ///< The service has no live target.
    PatienceTooShort, ///< Not even an idle target could finish within the patience.
    PatienceOver,     ///< The patience expired while the request was queued.
    HomeUnreachable,  ///< The home of the key didn't answer in time.
    HomeLostMemory,   ///< The key may be older than the current process of its home.
    HomeFull,         ///< The home has reached its limit of keys.
    Quarantined,      ///< The request has crashed several targets.
    Draining,
    NotConfigured, ///< No configuration has been applied yet.
    Overloaded,    ///< A queue between threads of the daemon is full.
    TargetFailed,  ///< The target truncated the answer and it couldn't be resumed.
    TargetTimeout,
    TargetRefused, ///< The targets reported not to have run it, and no attempt is left.
    OutcomeLost,   ///< The key was granted before, and the outcome can't be determined.
};

/** A refusal as reported to the caller. */
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    Outcome outcome = Outcome::NotRun;
    /** Delay after which a retry may succeed; absent if a retry doesn't help. */
    std::optional<Duration> retryAfter;
    auto operator<=>(const Refusal &) const = default;
};

/** Name in problem documents and events, such as "customer-limit". */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(Outcome outcome);
/** HTTP status code of the response. */
int statusOf(RefusalReason reason);
/** Title of the problem document. */
std::string_view titleOf(RefusalReason reason);

} // namespace Apricothook
