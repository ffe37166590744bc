#pragma once

namespace Apricothook {

/** Log events of the gateway, which forwards callers' requests to targets. */
enum class GatewayEvent : int {
    RequestPlaced = 801,   ///< info: a request was sent to a target; target, load, attempt, wait.
                           ///< Operator: none.
    RequestAnswered = 802, ///< info: a target's complete response was forwarded to the caller;
                           ///< status, times. Operator: none.
    RequestRefused = 803,  ///< info: a request was rejected without having run; reason, retry time.
                           ///< Operator: see docs/OPERATIONS.md for the reason.
    RequestFailed = 804,   ///< warning: a request that may have run ended without a complete
                           ///< response; reason, target. Operator: check the target if it recurs.
    AttemptFailed = 805,   ///< warning: a target didn't return a complete response; target, cause,
                           ///< attempt. Operator: check the target if it recurs.
    CallerGone = 806,      ///< info: a caller disconnected before its response was complete; state.
                           ///< Operator: none.
    AnswerDiscarded = 807, ///< warning: a target sent a response that belongs to no request or to
                           ///< another one; target. Operator: report the target.
    BadRequest = 808,      ///< info: a caller sent an invalid request; cause. Operator: none.
    RetryDenied = 809,     ///< warning: a request isn't retried because this daemon's share of the
                           ///< retry budget is used up; requests, retries and permitted retries in
                           ///< the window. Operator: look for failing targets.
    GrantorChanged = 810,  ///< info: this daemon started or stopped granting the units of a
                           ///< customer or a target; its name, change, units left. Operator: none;
                           ///< see docs/OPERATIONS.md when a customer gets "too many requests".
    RetryGranted = 811,    ///< info: a request may be retried; requests, retries and permitted
                           ///< retries in the window. Operator: none.
    TargetLimitChanged = 812, ///< info: a target named a limit for all daemons, changed it or ended
                              ///< it; target, change, limit, source, age. Operator: none.
    TargetLimitInvalid = 813, ///< warning: a target named an invalid limit, which is ignored;
                              ///< target, error. Operator: report the target.
    TargetLimitReached = 814, ///< info: a request wasn't sent to a target, whose limit has no unit
                              ///< left or whose grantor didn't answer, and is placed anew; target,
                              ///< limit, age, share, time until the next unit. Operator: none.
    SuspectChanged = 815,     ///< warning: requests with a trait (their content, or a part of their
                              ///< prompts) were running when targets crashed, or it is known to be
                              ///< harmless; its number, kind, verdict, crashes, trials, source.
                              ///< Operator: see docs/OPERATIONS.md if it is quarantined.
    TrialDecided = 816,       ///< info: a request with a suspect trait was to be sent as a trial;
                              ///< the trait, crashes, trials, whether the fleet's limit of trials
                              ///< had a unit, from whom. Operator: none.
    SuspectHeld = 817,        ///< info: a request with a suspect trait waits for the outcome of a
                              ///< trial; the trait, crashes, trials. Operator: none.
    TargetCrashed = 818,      ///< warning: a target dropped requests and doesn't accept
                              ///< connections, or was replaced at its address; target, sign, number
                              ///< of requests. Operator: check the target if it recurs.
    TargetSurvived = 819,     ///< info: a target that dropped or didn't answer requests accepts
                              ///< connections; target, number of requests. Operator: none.
    TargetBrittle = 820,      ///< info: a target said that it crashes if it has to reject too many
                              ///< requests, changed or ended that; target, change, rejections per
                              ///< second, source, age. Operator: none.
    PermitDecided = 821,      ///< info: a request of a service that lost targets lately asked for
                              ///< a permit to be sent; its number, outcome, who decided, how long
                              ///< it took. Operator: none.
    PermitExpired = 822,      ///< warning: a daemon reported nothing of a permitted request, which
                              ///< counts as a crash; its number, age. Operator: look for daemons
                              ///< that ended.
    StreamBegun = 823,        ///< info: the first event of a stream that can be resumed is being
                              ///< forwarded; version of its target, daemons that remember it, for
                              ///< how long. Operator: none.
    StreamTakenUp = 824,      ///< info: a caller goes on with an earlier stream; the request that
                              ///< began it, its version, which daemon knew it, queries, answers.
                              ///< Operator: see docs/OPERATIONS.md if the version isn't known.
    StreamsForgotten = 825,   ///< warning: more streams were to be remembered than this daemon can;
                              ///< the number forgotten since its start. Operator: look for callers
                              ///< that begin more streams than planned.
    TargetSilent = 826,  ///< info: a target has sent nothing of a response for too long; target,
                         ///< how long, the last event, whether another target is tried or why not.
                         ///< Operator: see docs/OPERATIONS.md if it recurs.
    BackupRefused = 827, ///< info: a request wasn't sent to another target beside its silent one;
                         ///< silent target, cause. Operator: none.
    BackupEnded = 828,   ///< info: one of a request's two targets has answered and the attempt at
                         ///< the other one was cancelled; which was kept, the last event.
                         ///< Operator: none.
    ResponseCut = 829,   ///< warning: a connection ended before the rest of a whole response was
                         ///< sent on it; who ended it, cause, bytes left, how long it was written.
                         ///< Operator: see docs/OPERATIONS.md if this daemon ended it.
    ConnectionsWait = 830, ///< warning: the process has no descriptor or memory for a caller's
                           ///< connection, which waits; errno value, open connections. Operator:
                           ///< raise the limit, or add VMs.
    CallerLimited = 831,   ///< info: a caller's connection was closed, or its request refused, as
                         ///< the limits on all callers together left no room for it; limit, cause,
                         ///< state, bytes of the connection, bytes held. Operator: see
                         ///< docs/OPERATIONS.md if it recurs.
    BodyLimitTooLarge = 832, ///< warning: the configuration allows longer bodies than this daemon
                             ///< has memory for, which are refused; both lengths. Operator: lower
                             ///< the limit of the configuration, or give the VMs more memory.
    AttemptKeptAtRestart = 833, ///< info: a target's start became known, and a request that was
                                ///< sent after it goes on; target, start, the start that it was
                                ///< placed by. Operator: none.
};

} // namespace Apricothook
