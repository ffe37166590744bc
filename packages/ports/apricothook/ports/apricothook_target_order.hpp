#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Apricothook {

/** Identifies a dispatch within a daemon process. */
using DispatchId = Number<struct DispatchIdKind>;

/** Time limits of a dispatch; those of the kernel last minutes and miss a silent connection. */
struct DispatchDeadlines
{
    Duration connect = std::chrono::seconds(1);
    /** From the last byte sent of the request. */
    Duration firstByte = std::chrono::seconds(30);
    Duration betweenBytes = std::chrono::seconds(5);
    /** End of the patience: the complete answer must have been received by then. */
    Instant end {};
    auto operator<=>(const DispatchDeadlines &) const = default;
};

/** Sends a request to a target once and streams the answer back. */
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
    /** Sent as Idempotency-Key; engines also get `streamId`, derived from it, as Engine-Stream. */
    RequestKey key;
    std::string streamId;
    /** Checked right before the first byte is sent; nothing is sent after this time. */
    Instant notAfter {};
    DispatchDeadlines deadlines;
    std::shared_ptr<AnswerStream> answer;
    /** Whether only the stream of an earlier run is fetched, from `answer->bytesWritten()` on. */
    bool resumeOnly = false;
};

/** Ends a dispatch and cancels the work at the engine if possible. */
struct CancelOrder
{
    DispatchId dispatch;
};

enum class EngineOrderKind { LoadModel, UnloadModel, LoadAdapter, SetRole };

/** A change of an engine that the applied configuration requires; idempotent. */
struct EngineOrder
{
    std::uint64_t id = 0;
    TargetId target;
    Endpoint address;
    EngineOrderKind kind = EngineOrderKind::LoadModel;
    /** Name of the model, adapter or role. */
    std::string subject;
    std::string version;
    std::uint64_t fencing = 0;
    /** Not sent after this time, as the configuration may then be stale. */
    Instant notAfter {};
};

/** Polls an engine for its load and its cache events. */
struct PollOrder
{
    TargetId target;
    Endpoint address;
    std::uint64_t cacheEventsAfter = 0;
};

using TargetOrder = std::variant<DispatchOrder, CancelOrder, EngineOrder, PollOrder>;

} // namespace Apricothook
