#include <apricothook/eventloop/apricothook_event_loop.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace Apricothook;

namespace {

constexpr std::chrono::milliseconds NoWait {0};

struct Bench
{
    ManualClock clock;
    EventLoop loop {clock};
    std::string order;

    TimerId note(char letter, std::chrono::milliseconds delay)
    {
        return loop.after(delay, [this, letter] { order += letter; });
    }
    void pass(std::chrono::milliseconds time)
    {
        clock.advance(time);
        loop.runOnce(NoWait);
    }
};

} // namespace

TEST_CASE("timers run once, in the order of their due times")
{
    Bench bench;
    bench.note('b', std::chrono::milliseconds(20));
    bench.note('a', std::chrono::milliseconds(10));
    bench.note('c', std::chrono::milliseconds(20));
    bench.pass(std::chrono::milliseconds(9));
    CHECK(bench.order.empty());
    bench.pass(std::chrono::milliseconds(20));
    bench.pass(std::chrono::milliseconds(20));
    CHECK(bench.order == "abc");
}

TEST_CASE("a timer can be cancelled by another timer that is due at the same time")
{
    Bench bench;
    TimerId second = 0;
    bench.loop.after(std::chrono::milliseconds(5), [&] { bench.loop.cancel(second); });
    second = bench.note('x', std::chrono::milliseconds(5));
    bench.pass(std::chrono::milliseconds(10));
    CHECK(bench.order.empty());
    CHECK(second == 0);
    bench.loop.cancel(second);
}

TEST_CASE("deferred actions run after the current one")
{
    Bench bench;
    bench.loop.after(NoWait, [&] {
        bench.loop.defer([&] { bench.order += '2'; });
        bench.order += '1';
    });
    bench.pass(std::chrono::milliseconds(1));
    CHECK(bench.order == "12");
}

TEST_CASE("actions posted by another thread wake the loop")
{
    Bench bench;
    bool ran = false;
    std::thread other([&] {
        bench.loop.post([&] {
            ran = true;
            bench.loop.stop();
        });
    });
    bench.loop.run();
    other.join();
    CHECK(ran);
}

TEST_CASE("post fails while the queue is full")
{
    Bench bench;
    int taken = 0;
    while (bench.loop.post([] {}))
        ++taken;
    CHECK(taken > 0);
    bench.loop.runOnce(NoWait);
    CHECK(bench.loop.post([] {}));
}
