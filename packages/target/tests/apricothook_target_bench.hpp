#pragma once

#include <apricothook/target/apricothook_target_client.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>
#include <apricothook/testsupport/apricothook_recording_inbox.hpp>
#include <apricothook/testsupport/apricothook_wait_until.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Apricothook {

/** A client with a clock and an inbox of the test's. */
struct TargetBench
{
    explicit TargetBench(TargetOptions given = {}) : client(inbox, clock, quick(std::move(given)))
    {
        REQUIRE(client.start());
    }

    static TargetOptions quick(TargetOptions options)
    {
        options.longestPoll = std::chrono::milliseconds(2);
        return options;
    }

    DispatchOrder order(const Endpoint &address, ServiceKind kind = ServiceKind::Plain)
    {
        DispatchOrder order;
        order.dispatch = DispatchId(++lastDispatch);
        order.address = address;
        order.kind = kind;
        order.method = "POST";
        order.path = "/v1/completions";
        order.body = std::make_shared<const std::string>("{\"body\":1}");
        order.key = RequestKey("key-1");
        order.streamId = kind == ServiceKind::Engine ? "s1" : "";
        order.notAfter = clock.now() + std::chrono::seconds(1);
        order.deadlines.end = clock.now() + std::chrono::seconds(60);
        order.answer = std::make_shared<AnswerStream>();
        return order;
    }

    /** Sends the order and waits for its end, letting the clock creep so that retries come. */
    DispatchEnded run(const DispatchOrder &order)
    {
        REQUIRE(client.order(order));
        return end(order);
    }
    DispatchEnded end(const DispatchOrder &order)
    {
        DispatchEnded ended;
        REQUIRE(waitUntil([&] {
            clock.advance(std::chrono::microseconds(100));
            const std::vector<DispatchEnded> all = inbox.all<DispatchEnded>();
            for (const DispatchEnded &each : all) {
                if (each.dispatch == order.dispatch) {
                    ended = each;
                    return true;
                }
            }
            return false;
        }));
        return ended;
    }
    bool waitForBytes(const DispatchOrder &order, std::size_t bytes)
    {
        return waitUntil([&] { return order.answer->bytesWritten() >= bytes; });
    }

    ManualClock clock;
    RecordingInbox inbox;
    std::uint64_t lastDispatch = 0;
    TargetClient client;
};

inline std::string textOf(AnswerStream &answer)
{
    std::string text(AnswerStream::Capacity * 2, '\0');
    text.resize(answer.read(text.data(), text.size()));
    return text;
}

} // namespace Apricothook
