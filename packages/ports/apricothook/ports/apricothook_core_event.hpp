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

/** A message from another daemon, already authenticated. */
struct PeerMessageReceived
{
    MemberInstance from;
    Endpoint address;
    PeerMessage message;
};

/** A fleet text that was read, from the platform or a peer, and passed every check. */
struct ConfigurationArrived
{
    std::shared_ptr<const Configuration> configuration;
    /** As it was read, so that peers can be given the same bytes. */
    std::shared_ptr<const std::string> text;
};

/** A fleet text that was refused whole. */
struct ConfigurationRejected
{
    Generation generation;
    std::uint64_t textHash = 0;
    std::size_t errors = 0;
    std::string firstError;
};

/** The platform's list of leaving VMs. */
struct VmsArrived
{
    VmList list;
};

/** The platform answered, or didn't. */
struct PlatformReachability
{
    bool isReachable = false;
};

/** An answer that another daemon kept was fetched, or couldn't be. */
struct KeptAnswerArrived
{
    ExchangeId exchange;
    std::shared_ptr<const KeptAnswer> answer;
};

enum class OperatorQuestion { Status, Explain };

/** A question of the operators' command line; the answer is a JSON document. */
struct OperatorAsked
{
    OperatorQuestion question = OperatorQuestion::Status;
    RequestKey key;
    std::shared_ptr<std::promise<std::string>> answer;
};

/** Another daemon asks for an answer that this one may have kept; null when it hasn't. */
struct KeptAnswerAsked
{
    RequestKey key;
    std::shared_ptr<std::promise<std::shared_ptr<const KeptAnswer>>> answer;
};

/** SIGTERM: leave, drain, stop. */
struct StopRequested
{
};

using CoreEvent
    = std::variant<CallerRequest, CallerGone, KeyLookup, EntriesLookup, DispatchStarted,
                   DispatchEnded, EngineOrderEnded, LoadReport, CacheEvents, PeerMessageReceived,
                   ConfigurationArrived, ConfigurationRejected, VmsArrived, PlatformReachability,
                   KeptAnswerArrived, OperatorAsked, KeptAnswerAsked, StopRequested>;

} // namespace Apricothook
