#pragma once

#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <string_view>

namespace Apricothook {

/** What a daemon found when it tried to connect to a target. */
enum class ProbeResult {
    Kept,    ///< The connection was accepted and kept.
    Refused, ///< It was refused, or ended soon.
    Silent,  ///< Nothing was answered.
};

std::string_view nameOf(ProbeResult result);

/** Whether a target accepts connections, and from whom. */
enum class ReachVerdict {
    Here,      ///< From this daemon.
    Elsewhere, ///< From other daemons, but not from this one: the path is at fault.
    Refused,   ///< From nobody; it refuses or drops them.
    Silent,    ///< From nobody; it doesn't answer.
    Unknown,   ///< Not from this daemon, and others can't tell or disagree.
};

std::string_view nameOf(ReachVerdict verdict);

/** What this daemon and others found about one target. */
struct ReachEvidence
{
    ProbeResult own = ProbeResult::Silent;
    /** No other daemon exists that could be asked. */
    bool isAlone = false;
    unsigned reached = 0;
    unsigned refused = 0;
    unsigned silent = 0;
    /** Daemons that gave no evidence, because they have no path themselves or didn't answer. */
    unsigned uninformed = 0;

    void add(RelayOutcome outcome);
    auto operator<=>(const ReachEvidence &) const = default;
};

/**
 * Judges target and path separately: a target is at fault only if most of those that were asked
 * agree, and reach other targets at the same time, which a daemon that has lost its paths doesn't.
 */
ReachVerdict verdictOf(const ReachEvidence &evidence);

} // namespace Apricothook
