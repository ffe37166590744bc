#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Apricothook {

/** Names one dispatch of one daemon process. */
using DispatchId = Number<struct DispatchIdKind>;

/** Deadlines of our own; the kernel's are minutes long and miss a silent connection. */
struct DispatchDeadlines
{
    Duration connect = std::chrono::seconds(1);
    /** From the last byte of the request sent. */
    Duration firstByte = std::chrono::seconds(30);
    Duration betweenBytes = std::chrono::seconds(5);
    /** The patience that is left: the whole answer must be there by then. */
    Instant end {};
    auto operator<=>(const DispatchDeadlines &) const = default;
};

/** Sends a request to a target, once, and streams the answer back. */
struct DispatchOrder
{
    DispatchId dispatch;
    TargetId target;
    Endpoint address;
    ServiceKind kind = ServiceKind::Plain;
    std::string method;
    std::string path;
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
    /** Derived from the key: sent as Idempotency-Key, and for engines as Engine-Stream. */
    RequestKey key;
    std::string streamId;
    /** The adapter reads the clock just before the first byte and sends nothing after this. */
    Instant notAfter {};
    DispatchDeadlines deadlines;
    std::shared_ptr<AnswerStream> answer;
    /** True: the request ran before; only its stream is fetched from `answer->written()` on. */
    bool resumesOnly = false;
};

/** Ends a dispatch, and the work at the engine where it can be cancelled. */
struct CancelOrder
{
    DispatchId dispatch;
};

enum class EngineOrderKind { LoadModel, UnloadModel, LoadAdapter, SetRole };

/** An operator's wish for an engine, derived from the configuration in force; idempotent. */
struct EngineOrder
{
    std::uint64_t id = 0;
    TargetId target;
    Endpoint address;
    EngineOrderKind kind = EngineOrderKind::LoadModel;
    /** Model, adapter or role. */
    std::string subject;
    std::string version;
    std::uint64_t fencing = 0;
    /** Not sent after this moment: the freshness that allowed the order has passed. */
    Instant notAfter {};
};

/** Asks an engine for its load and its cache events. */
struct PollOrder
{
    TargetId target;
    Endpoint address;
    std::uint64_t cacheEventsAfter = 0;
};

using TargetOrder = std::variant<DispatchOrder, CancelOrder, EngineOrder, PollOrder>;

} // namespace Apricothook
