#pragma once

namespace Apricothook {

/** Events about single requests at their entry daemon. */
enum class RequestsEvent : int {
    Accepted = 201, ///< info: a request was admitted to the entry; service, customer, class, tier.
                    ///< Operator: none.
    Refused = 202,  ///< info: a request got a refusal; reason and outcome. Operator: see the reason
                    ///< in docs/CALLERS.md.
    Reserved
    = 203,         ///< info: a steward reserved room; target, shard, cached tokens. Operator: none.
    Granted = 204, ///< info: every home granted the dispatch; target, attempt. Operator: none.
    Dispatched = 205, ///< info: the request was handed to the target adapter. Operator: none.
    Answered
    = 206, ///< info: the whole answer was received; target, tokens, resumes. Operator: none.
    TargetFailed = 207, ///< warning: a target ended a run early; target, end. Operator: look at the
                        ///< target when it repeats.
    TriedAgain = 208,   ///< info: a target proved that it did not run the request; another attempt
                        ///< follows. Operator: none.
    StewardSilent = 209, ///< warning: a steward didn't answer and another shard is asked; shard.
                         ///< Operator: see status for the members.
    AnswerFound
    = 210, ///< info: a request that was sent again got the answer of its first run. Operator: none.
    CallerLeft = 211,    ///< info: a caller went away; the step it was in. Operator: none.
    TooLateToSend = 212, ///< warning: a grant came after the reservation or the patience had ended;
                         ///< nothing was sent. Operator: look for a paused process when it repeats.
    StreamTakenOver = 213,  ///< info: the stream of a request whose entry died is resumed from its
                            ///< target. Operator: none.
    RetryBudgetSpent = 214, ///< warning: a request that did not run isn't tried again as too many
                            ///< were. Operator: look for targets that refuse everything.
};

} // namespace Apricothook
