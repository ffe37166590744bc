#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_caller_event.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>

#include <future>
#include <memory>
#include <string>
#include <variant>

namespace Apricothook {

/** An authenticated message from another daemon. */
struct PeerMessageReceived
{
    MemberInstance from;
    Endpoint address;
    PeerMessage message;
};

/** A valid fleet text was received from the platform or a peer. */
struct ConfigurationReceived
{
    std::shared_ptr<const Configuration> configuration;
    /** The text as received, so that peers get identical bytes. */
    std::shared_ptr<const std::string> text;
};

/** A fleet text was rejected as a whole. */
struct ConfigurationRejected
{
    Generation generation;
    std::uint64_t textHash = 0;
    std::size_t errors = 0;
    std::string firstError;
};

/** The platform's list of leaving VMs was received. */
struct VmListReceived
{
    VmList list;
};

/** The platform was queried; tells whether it answered. */
struct PlatformReachability
{
    bool isReachable = false;
};

/** Fetching a kept answer from another daemon has ended; `answer` is null on failure. */
struct KeptAnswerFetched
{
    ExchangeId exchange;
    std::shared_ptr<const KeptAnswer> answer;
};

enum class OperatorQuestion { Status, Explain };

/** A query of the operators' command line; answered with a JSON document. */
struct OperatorQuery
{
    OperatorQuestion question = OperatorQuestion::Status;
    RequestKey key;
    std::shared_ptr<std::promise<std::string>> answer;
};

/** Another daemon asks for an answer that this one may keep; answered with null if not. */
struct KeptAnswerQuery
{
    RequestKey key;
    std::shared_ptr<std::promise<std::shared_ptr<const KeptAnswer>>> answer;
};

/** SIGTERM was received: leave, drain and stop. */
struct StopRequested
{
};

using CoreEvent = std::variant<CallerRequest, CallerGone, KeyLookup, EntriesLookup, DispatchStarted,
                               DispatchEnded, EngineOrderEnded, LoadReport, CacheEvents,
                               PeerMessageReceived, ConfigurationReceived, ConfigurationRejected,
                               VmListReceived, PlatformReachability, KeptAnswerFetched,
                               OperatorQuery, KeptAnswerQuery, StopRequested>;

} // namespace Apricothook
