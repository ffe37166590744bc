#pragma once

namespace Apricothook {

/** Events of requests that are forwarded by the daemon which holds their connection. */
enum class GatewayEvent : int {
    RequestPlaced = 801,   ///< info: a request was sent to a target; target, load, attempt, wait.
                           ///< Operator: none.
    RequestAnswered = 802, ///< info: a target's answer reached the caller whole; status, times.
                           ///< Operator: none.
    RequestRefused = 803,  ///< info: a request that didn't run was refused; reason, retry time.
                           ///< Operator: see docs/OPERATIONS.md for the reason.
    RequestFailed = 804,   ///< warning: a request ended without a whole answer and may have run;
                           ///< reason, target. Operator: look at the target when it repeats.
    AttemptFailed = 805,   ///< warning: one target didn't answer a request whole; target, cause,
                           ///< attempt. Operator: look at the target when it repeats.
    CallerGone = 806,      ///< info: a caller left before its answer was whole; state. Operator:
                           ///< none.
    AnswerDiscarded = 807, ///< warning: a target sent an answer that belongs to no request or to
                           ///< another one; target. Operator: report the target.
    BadRequest = 808,      ///< info: a caller's bytes aren't a request that can be served; cause.
                           ///< Operator: none.
    RetryDenied = 809,     ///< warning: a request isn't sent again as this daemon's part of the
                           ///< retry budget is used up; requests and repeats of the window, what
                           ///< it may hold. Operator: look for failing targets.
    GrantorChanged = 810,  ///< info: this daemon grants a customer's units from now on, or no
                           ///< longer; customer, change, units left. Operator: none; see
                           ///< docs/OPERATIONS.md when a customer hears "too many".
    RetryGranted = 811,    ///< info: a request may be sent again; requests and repeats of the
                           ///< window, what it may hold. Operator: none.
};

} // namespace Apricothook
