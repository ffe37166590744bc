#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <compare>
#include <optional>
#include <string_view>

namespace Apricothook {

/** What is known of a request that got no answer. */
enum class Outcome {
    NotRun,  ///< No byte of the request reached a target, or the target proved that it did not run.
    Unknown, ///< The request may have run, in part or whole.
};

/** Why a request is refused; each has one HTTP status and one problem type. */
enum class RefusalReason {
    BadRequest,
    Unauthorized,
    UnknownService,
    UnknownClass,
    UnknownKey,
    BodyTooLarge,
    HeadersTooLarge,
    BodyTimeout,
    KeyConflict,    ///< The key was used with another body or by another customer.
    AlreadyRunning, ///< The key was granted before and its answer isn't at hand yet.
    AnswerGone,     ///< The key ran to its end but its answer is no longer kept.
    CustomerLimit,
    TooManyConnections,
    Shed,             ///< Work of the same or a higher tier fills the targets.
    NoTarget,         ///< No live target serves the service.
    PatienceTooShort, ///< No target could finish in time, even when idle.
    PatienceOver,     ///< The patience ended while the request waited.
    HomeUnreachable,  ///< The daemon that may grant the key didn't answer in time.
    HomeLostMemory,   ///< The key may be older than its home's present life.
    HomeFull,         ///< The home holds as many keys as it may.
    Quarantined,      ///< The same request crashed several targets.
    Draining,
    NotConfigured, ///< No configuration is in force yet.
    Overloaded,    ///< A ring between threads of the daemon is full.
    TargetFailed,  ///< The target ended the answer early and it couldn't be resumed.
    TargetTimeout,
    TargetRefused, ///< Targets proved that they did not run it, and no attempt is left.
    OutcomeLost,   ///< The key was granted before, and nobody knows any more how it ended.
};

/** A refusal as a caller sees it. */
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    Outcome outcome = Outcome::NotRun;
    /** When it is worth trying again; absent where trying again doesn't help. */
    std::optional<Duration> retryAfter;
    auto operator<=>(const Refusal &) const = default;
};

/** The name in problem documents and events, such as "customer-limit". */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(Outcome outcome);
/** The HTTP status that a caller gets. */
int statusOf(RefusalReason reason);
/** One sentence for the problem document's title. */
std::string_view titleOf(RefusalReason reason);

} // namespace Apricothook
