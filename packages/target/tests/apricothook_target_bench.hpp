#pragma once

#include <apricothook/ports/apricothook_core_inbox.hpp>
#include <apricothook/target/apricothook_target_client.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Apricothook {

class FakeClock : public Clock
{
public:
    Instant now() const override { return Instant(Duration(m_now.load())); }
    std::uint64_t wallMilliseconds() const override { return 0; }
    void advance(Duration by) { m_now += by.count(); }

private:
    std::atomic<std::int64_t> m_now = 1'000'000'000;
};

class RecordingInbox : public CoreInbox
{
public:
    bool tryGive(CoreEvent event) override
    {
        give(std::move(event));
        return true;
    }
    void give(CoreEvent event) override
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
    }
    template <typename T>
    std::vector<T> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<T> found;
        for (const CoreEvent &event : m_events) {
            if (const T *each = std::get_if<T>(&event))
                found.push_back(*each);
        }
        return found;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<CoreEvent> m_events;
};

/** Waits for another thread; the limit is for a test that hangs, no verdict hangs on it. */
inline bool waitUntil(const std::function<bool()> &isTrue)
{
    constexpr int Limit = 10'000;
    for (int turn = 0; turn < Limit; ++turn) {
        if (isTrue())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

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
        return waitUntil([&] { return order.answer->written() >= bytes; });
    }

    FakeClock clock;
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
