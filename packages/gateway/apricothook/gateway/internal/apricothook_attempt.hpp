#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/gateway/apricothook_event_stream_scanner.hpp>
#include <apricothook/gateway/apricothook_target_channel.hpp>
#include <apricothook/paths/apricothook_path_monitor.hpp>

#include <optional>
#include <string>

namespace Apricothook {

class Attempt;

/** Provides the request of an attempt and receives the response to it. */
class AttemptEvents
{
public:
    virtual ~AttemptEvents() = default;
    virtual WrittenRequest writeRequest(Attempt &attempt) = 0;
    virtual void onResponseHead(Attempt &attempt, const ResponseHead &head,
                                const TargetResponseFields &fields)
        = 0;
    virtual void onResponseBody(Attempt &attempt, std::string_view bytes) = 0;
    virtual void onResponseComplete(Attempt &attempt) = 0;
    virtual void onResponseFailed(Attempt &attempt, ChannelFailure failure) = 0;
};

/** One sending of a request to one target. Must outlive its use of the channel. */
class Attempt : private TargetResponseEvents
{
public:
    Attempt(AttemptEvents &events, const TargetEntry &target, Instant now);

    /** Starts the request on the channel, which must be set. */
    void start(const RequestKey &request, bool isHeadResponse);
    /** What it lost if it ends without a complete response. */
    AttemptLoss loss() const;

    const TargetEntry target;
    TargetChannel *channel = nullptr;
    /** When the request was sent; until then, when the channel was asked for. */
    Instant started {};
    /** Some byte of the request was handed to the network. */
    bool isSent = false;
    Instant lastEvent {};
    bool hasHead = false;
    bool hasFirstEvent = false;
    /** Arrival of the first event; meaningful if there was one. */
    Instant firstEvent {};
    /** The target was silent for too long and has sent no event since. */
    bool isSilent = false;
    /** Its silence was reported as a possible loss. */
    bool isReported = false;
    /** It was the first of this daemon's attempts to find its target silent. */
    bool isFirstSilent = false;
    /** The target stated that it didn't run the request. */
    bool isNotRun = false;
    ResponseHead head;
    std::string body;
    EventStreamScanner scanner;
    /** The permit that it was sent with, until its use is reported. */
    std::optional<std::uint64_t> permit;

private:
    WrittenRequest writeRequest() override;
    void onResponseHead(const ResponseHead &head, const TargetResponseFields &fields) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseComplete() override;
    void onResponseFailed(ChannelFailure failure) override;

    AttemptEvents &m_events;
};

} // namespace Apricothook
