#include <apricothook/model/apricothook_refusal.hpp>

#include <array>

namespace Apricothook {

namespace {

struct Description
{
    RefusalReason reason;
    int status;
    std::string_view name;
    std::string_view title;
};

constexpr std::array Descriptions {
    Description {RefusalReason::BadRequest, 400, "bad-request", "The request is malformed"},
    Description {RefusalReason::Unauthorized, 401, "unauthorized", "No customer has this key"},
    Description {RefusalReason::UnknownService, 404, "unknown-service", "No service has this name"},
    Description {RefusalReason::UnknownClass, 400, "unknown-class", "No class has this name"},
    Description {RefusalReason::UnknownKey, 404, "unknown-key", "No request has this key here"},
    Description {RefusalReason::BodyTooLarge, 413, "body-too-large", "The body is too large"},
    Description {RefusalReason::HeadersTooLarge, 431, "headers-too-large",
                 "The headers are too large"},
    Description {RefusalReason::BodyTimeout, 408, "body-timeout", "The body came too slowly"},
    Description {RefusalReason::KeyConflict, 409, "key-conflict",
                 "The key was used for another request"},
    Description {RefusalReason::AlreadyRunning, 409, "already-running",
                 "A request with this key is running"},
    Description {RefusalReason::AnswerGone, 410, "answer-gone", "The answer is no longer kept"},
    Description {RefusalReason::CustomerLimit, 429, "customer-limit",
                 "The customer's limit is reached"},
    Description {RefusalReason::TooManyConnections, 503, "too-many-connections",
                 "The entry has as many connections as it may"},
    Description {RefusalReason::Shed, 503, "shed", "The targets are full"},
    Description {RefusalReason::NoTarget, 503, "no-target", "No target serves this at present"},
    Description {RefusalReason::PatienceTooShort, 504, "patience-too-short",
                 "No target could finish in time"},
    Description {RefusalReason::PatienceOver, 504, "patience-over", "The patience ended"},
    Description {RefusalReason::HomeUnreachable, 503, "home-unreachable",
                 "The daemon that may grant this key can't be reached"},
    Description {RefusalReason::HomeLostMemory, 503, "home-lost-memory",
                 "The daemon that may grant this key has restarted"},
    Description {RefusalReason::HomeFull, 503, "home-full", "No more keys can be kept at present"},
    Description {RefusalReason::Quarantined, 422, "quarantined",
                 "This request crashed its targets"},
    Description {RefusalReason::Draining, 503, "draining", "The entry is leaving"},
    Description {RefusalReason::NotConfigured, 503, "not-configured",
                 "No configuration is in force yet"},
    Description {RefusalReason::Overloaded, 503, "overloaded", "The entry is overloaded"},
    Description {RefusalReason::TargetFailed, 502, "target-failed", "The target failed"},
    Description {RefusalReason::TargetTimeout, 504, "target-timeout",
                 "The target didn't answer in time"},
    Description {RefusalReason::TargetRefused, 503, "target-refused", "The targets refused it"},
    Description {RefusalReason::OutcomeLost, 409, "outcome-lost",
                 "A request with this key was run and its end isn't known"},
};

const Description &descriptionOf(RefusalReason reason)
{
    for (const Description &description : Descriptions) {
        if (description.reason == reason)
            return description;
    }
    return Descriptions.front();
}

} // namespace

std::string_view nameOf(RefusalReason reason)
{
    return descriptionOf(reason).name;
}

std::string_view nameOf(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

int statusOf(RefusalReason reason)
{
    return descriptionOf(reason).status;
}

std::string_view titleOf(RefusalReason reason)
{
    return descriptionOf(reason).title;
}

} // namespace Apricothook
