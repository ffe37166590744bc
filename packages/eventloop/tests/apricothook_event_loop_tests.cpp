#include <apricothook/eventloop/apricothook_event_loop.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
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

namespace {

class CountingEvents : public DescriptorEvents
{
public:
    void onReadable() override { ++readable; }
    void onWritable() override
    {
        ++writable;
        if (action)
            action();
    }

    int readable = 0;
    int writable = 0;
    std::function<void()> action;
};

std::array<int, 2> openPair()
{
    std::array<int, 2> ends {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()) == 0);
    return ends;
}

} // namespace

TEST_CASE("events of a closed descriptor aren't reported to the next one with its number")
{
    // A connection attempt to another target would count as connected when the first was refused.
    Bench bench;
    const std::array<int, 2> first = openPair();
    std::array<int, 2> second {};
    CountingEvents before;
    CountingEvents after;
    before.action = [&] {
        bench.loop.unwatch(first[0]);
        close(first[0]);
        second = openPair();
        REQUIRE(second[0] == first[0]);
        bench.loop.watch(second[0], after);
    };
    bench.loop.watch(first[0], before);
    bench.loop.setInterest(first[0], true, true);
    close(first[1]);
    bench.loop.runOnce(NoWait);
    CHECK(before.writable == 1);
    CHECK(before.readable == 0);
    CHECK(after.readable == 0);
    bench.loop.unwatch(second[0]);
    close(second[0]);
    close(second[1]);
}
