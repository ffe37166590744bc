#pragma once

#include <apricothook/caller/apricothook_caller_server.hpp>

#include "apricothook_fake_inbox.hpp"
#include "apricothook_raw_caller.hpp"

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

namespace Apricothook {

/** Stands still unless the test moves it. */
class HandClock : public Clock
{
public:
    Instant now() const override { return Instant(Duration(m_microseconds)); }
    std::uint64_t wallMilliseconds() const override { return m_microseconds / 1000; }
    void advance(Duration by) { m_microseconds += by.count(); }

private:
    std::atomic<std::int64_t> m_microseconds = 0;
};

class CollectingSink : public EventSink
{
public:
    void record(const DecisionEvent &event) override
    {
        const std::lock_guard lock(m_mutex);
        m_numbers.push_back(event.number);
    }
    bool has(int number)
    {
        const std::lock_guard lock(m_mutex);
        return std::ranges::find(m_numbers, number) != m_numbers.end();
    }

private:
    std::mutex m_mutex;
    std::vector<int> m_numbers;
};

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

    HandClock clock;
    CollectingSink sink;
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
