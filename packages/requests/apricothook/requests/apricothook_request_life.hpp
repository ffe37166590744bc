#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_caller_event.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace Apricothook {

/** The steps of a request's life at its entry; docs/ARCHITECTURE.md draws them. */
enum class ExchangeStep {
    Reserving,      ///< Waits for a steward's room.
    Granting,       ///< Has room; waits for every home's grant.
    Running,        ///< Handed to the target adapter.
    AwaitingAnswer, ///< Was granted before; waits for the answer of that run.
    AskingWitness,  ///< Its home is gone or has forgotten; asks where its run went.
    Confirming,     ///< Will be refused; asks the homes whether it ran before.
    Lookup,         ///< GET /v1/requests/KEY.
};

/** What one home said of the attempt that is being granted. */
struct HomeAnswer
{
    MemberId home;
    bool isGranted = false;
    bool isAnswered = false;
};

/** One request of one caller, from its arrival at the entry until its end. */
struct RequestLife
{
    CallerRequest request;
    /** The generation that admitted the request; it ends under it. */
    std::shared_ptr<const Configuration> configuration;
    CustomerId customer;
    RequestClass requestClass;
    ServiceKind serviceKind = ServiceKind::Plain;
    /** The caller's key with the customer, as two customers may use the same key. */
    RequestKey key;
    bool isKeyGiven = false;

    ExchangeStep step = ExchangeStep::Reserving;
    Instant arrived {};
    Instant deadline {};
    std::uint32_t attempt = 1;
    std::uint32_t failedAttempts = 0; ///< Granted, and proved not to have run.
    std::uint32_t sends = 0;          ///< Of the message that waits for its reply now.
    bool isAbandoned = false;

    std::uint32_t outputTokens = 0; ///< Expected length of the answer.
    std::vector<ShardId> shards;
    std::size_t shardIndex = 0;
    bool isLastResort = false;
    bool isShardGone = false; ///< A new configuration has no such shard any more.
    bool isQueued = false;
    MemberId askedSteward;
    std::vector<TargetId> excluded;

    std::optional<ReserveReply> reservation;
    Instant reservedUntil {};
    std::vector<HomeAnswer> homes;
    /** True once a home may have granted the attempt that is under way. */
    bool mayBeGranted = false;

    DispatchId dispatch;
    Duration firstByte {};
    std::optional<DispatchEnded> ended;
    Instant dispatched {};
    MemberInstance holder;
    /** Where the run went that a home told of; empty where it isn't known. */
    TargetId runTarget;
    bool isTakenOver = false; ///< The stream of a run that another daemon dispatched.
    Duration queued {};       ///< From arrival until room was reserved.
    std::optional<Refusal> pendingRefusal;
};

} // namespace Apricothook
