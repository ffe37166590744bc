#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/http1/apricothook_message_head.hpp>

#include <string>

namespace Apricothook {

class TargetChannel;

/** The current attempt: a request sent to one target. */
struct Attempt
{
    TargetEntry target;
    TargetChannel *channel = nullptr;
    /** When the request was sent; until then, when the channel was asked for. */
    Instant started {};
    /** Some byte of the request was handed to the network. */
    bool isSent = false;
    Instant lastEvent {};
    bool hasHead = false;
    bool hasFirstEvent = false;
    /** The target stated that it didn't run the request. */
    bool isNotRun = false;
    ResponseHead head;
    std::string body;
    TimerId silenceTimer = 0;
};

} // namespace Apricothook
