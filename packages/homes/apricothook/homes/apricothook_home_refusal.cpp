#include <apricothook/homes/apricothook_home_refusal.hpp>

namespace Apricothook {

namespace {

// A caller that sends a key again asks what became of the request, not of this one attempt. Where
// nobody remembers the key, "not run" would let it file or charge again under a new key while the
// first attempt had run. Only a key that was minted for this exchange can have no earlier attempt.
Outcome outcomeWithoutMemory(KeyOrigin origin)
{
    return origin == KeyOrigin::Minted ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

std::optional<Refusal> refusalOf(GrantVerdict verdict, KeyOrigin origin,
                                 std::optional<Duration> retryAfter)
{
    switch (verdict) {
    case GrantVerdict::Granted:
    case GrantVerdict::WrongHome:
        return std::nullopt;
    case GrantVerdict::Running:
        return Refusal {RefusalReason::AlreadyRunning, Outcome::Unknown, std::chrono::seconds(1)};
    case GrantVerdict::OutcomeUnknown:
        return Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, std::nullopt};
    case GrantVerdict::Finished:
        return Refusal {RefusalReason::AnswerGone, Outcome::Unknown, std::nullopt};
    case GrantVerdict::Conflict:
        return Refusal {RefusalReason::KeyConflict, Outcome::NotRun, std::nullopt};
    case GrantVerdict::LostMemory:
        return Refusal {RefusalReason::HomeLostMemory, outcomeWithoutMemory(origin), retryAfter};
    case GrantVerdict::Full:
        // The home has its memory and doesn't know the key: nobody was granted it.
        return Refusal {RefusalReason::HomeFull, Outcome::NotRun, std::chrono::seconds(1)};
    }
    return Refusal {RefusalReason::HomeLostMemory, Outcome::Unknown, std::nullopt};
}

Refusal unreachableHomeRefusal(KeyOrigin origin)
{
    return {RefusalReason::HomeUnreachable, outcomeWithoutMemory(origin), std::chrono::seconds(1)};
}

} // namespace Apricothook
