#include <apricothook_fault_matrix.hpp>

namespace Apricothook {

std::string_view nameOf(Step step)
{
    static constexpr std::string_view Names[Steps]
        = {"arriving",         "waiting for room",   "room, no grant", "one of two grants",
           "grant under way",  "before first byte",  "streaming",      "answered, no report",
           "answered, resent", "refused, confirming"};
    return Names[static_cast<std::size_t>(step)];
}

std::string_view nameOf(Expected expected)
{
    static constexpr std::string_view Names[]
        = {"not applicable",     "answered once",          "answered after not-run",
           "answered by resend", "answer found by resend", "stream taken over",
           "not run, said so",   "unknown, ran",           "unknown, not run",
           "caller left"};
    return Names[static_cast<std::size_t>(expected)];
}

std::string_view nameOf(MessageKind kind)
{
    static constexpr std::string_view Names[MessageKinds] = {
        "ReserveRequest", "ReserveReply",  "GrantRequest",        "GrantReply", "KeyQuery",
        "KeyQueryReply",  "OutcomeReport", "OutcomeAcknowledged", "Release",    "InFlightReport"};
    return Names[static_cast<std::size_t>(kind)];
}

std::string_view nameOf(MessageFault fault)
{
    static constexpr std::string_view Names[MessageFaults]
        = {"lost twice", "doubled", "late by 1 s", "a copy comes 1 s late"};
    return Names[static_cast<std::size_t>(fault)];
}

std::string_view nameOf(Fault fault)
{
    static constexpr std::string_view Names[] = {
        "none",
        "entry dies",
        "home dies",
        "steward dies",
        "entry restarts",
        "home restarts",
        "steward restarts",
        "entry paused past the lease",
        "entry paused past the patience",
        "entry paused and replaced",
        "home paused past the lease",
        "home paused past the patience",
        "home paused and replaced",
        "steward paused past the lease",
        "steward paused past the patience",
        "steward paused and replaced",
        "target unreachable",
        "target dies",
        "target crashes on it",
        "target straggles",
        "target refuses",
        "all targets refuse",
        "connection goes silent",
        "caller leaves",
        "caller leaves and comes back",
        "key sent again at the same entry",
        "key sent again at another entry",
        "key sent with another body",
        "message under way is lost",
        "message under way is doubled",
        "message under way is late",
        "entry and home cut off",
        "entry and home cut off for 2 s",
        "entry and home cut off for 40 s",
        "entry and steward cut off",
        "fleet in halves, entry with home",
        "fleet in halves, entry with steward",
        "platform down",
        "platform stale",
        "home leaves the roster",
        "target removed",
        "class lowered to another tier",
        "customer removed",
        "service removed",
        "target's VM leaves",
        "burst of a lower tier",
        "entry is stopped",
        "home is stopped",
        "steward is stopped",
        "new daemon becomes steward",
        "target ring full for 0.5 s",
        "target ring stays full",
        "home full",
    };
    return Names[static_cast<std::size_t>(fault)];
}

} // namespace Apricothook
