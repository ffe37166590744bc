#pragma once

#include <apricothook/caller/apricothook_caller_server.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>
#include <apricothook/testsupport/apricothook_recording_event_sink.hpp>

#include "apricothook_fake_inbox.hpp"
#include "apricothook_raw_caller.hpp"

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

namespace Apricothook {

/** A server on loopback. */
struct ServerFixture
{
    explicit ServerFixture(const CallerLimits &limits = {})
        : server(Endpoint {"127.0.0.1", 0}, limits, clock, inbox, sink)
    {
    }
    void start()
    {
        const auto bound = server.start();
        port = bound ? bound.value() : 0;
    }

    ManualClock clock;
    RecordingEventSink sink;
    FakeInbox inbox;
    CallerServer server;
    std::uint16_t port = 0;
};

inline std::string getRequest(std::string_view path, std::string_view headers = "")
{
    return "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n" + std::string(headers) + "\r\n";
}

inline std::string postRequest(std::string_view path, std::string_view body,
                               std::string_view headers = "")
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n" + std::string(headers) + "\r\n" + std::string(body);
}

} // namespace Apricothook
