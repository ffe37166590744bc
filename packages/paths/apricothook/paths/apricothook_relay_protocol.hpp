#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/http1/apricothook_message_head.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <optional>
#include <string_view>

namespace Apricothook {

/** What a daemon asks of another one. */
enum class RelayService {
    Connect, ///< Carry bytes between the asking daemon and the target.
    Test,    ///< Tell whether the target accepts connections and keeps them.
};

/** Asks a daemon to reach a target for another one. */
struct RelayRequest
{
    RelayService service = RelayService::Connect;
    TargetInstance target;
    Endpoint address;
    /** The caller's request that needs the connection, for the log; may be empty. */
    RequestKey request;

    auto operator<=>(const RelayRequest &) const = default;
};

enum class RelayRequestError {
    UnknownService,
    MissingTarget,
    InvalidAddress,
    InvalidStart,
};

/** A daemon's answer, or why there is none. */
enum class RelayOutcome {
    Reached,
    TargetRefuses, ///< The target refuses or drops connections; the daemon reaches others.
    TargetSilent,  ///< The target doesn't answer; the daemon reaches others.
    NoPath,        ///< The daemon has no path to the target, or may have none.
    UnknownTarget, ///< The daemon doesn't know the target at that address.
    Busy,          ///< The daemon carries too many connections, or is shutting down.
    Failed,        ///< The daemon wasn't reached, or its answer wasn't understood.
};

std::string_view nameOf(RelayOutcome outcome);

RequestHead writeRelayRequest(const RelayRequest &request);
Result<RelayRequest, RelayRequestError> parseRelayRequest(const RequestHead &head);

/** The status with which a daemon tells the outcome. */
unsigned statusOf(RelayOutcome outcome);
RelayOutcome relayOutcomeOf(unsigned status);

} // namespace Apricothook
