#include <apricothook/eventloop/apricothook_event_loop.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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

namespace {

/** Notes a letter and reads all bytes. */
class NotingReader : public DescriptorEvents
{
public:
    NotingReader(Bench &bench, char letter) : m_bench(bench), m_letter(letter), m_ends(openPair())
    {
        m_bench.loop.watch(m_ends[0], *this);
    }
    ~NotingReader() override
    {
        m_bench.loop.unwatch(m_ends[0]);
        close(m_ends[0]);
        close(m_ends[1]);
    }
    NotingReader(const NotingReader &) = delete;
    NotingReader &operator=(const NotingReader &) = delete;

    void receive() { REQUIRE(write(m_ends[1], "x", 1) == 1); }
    void onReadable() override
    {
        m_bench.order += m_letter;
        char byte = 0;
        REQUIRE(read(m_ends[0], &byte, 1) == 1);
        if (action)
            action();
    }
    void onWritable() override { }

    std::function<void()> action;

private:
    Bench &m_bench;
    const char m_letter;
    const std::array<int, 2> m_ends;
};

constexpr std::chrono::milliseconds HoldUp {400};

} // namespace

TEST_CASE("bytes that arrived while the loop was held up are read before timers run")
{
    // A frozen daemon would take streams for silent, and idle connections for expired, though their
    // bytes wait in the kernel.
    Bench bench;
    constexpr std::size_t Readers = 200;
    std::vector<std::unique_ptr<NotingReader>> readers;
    for (std::size_t i = 0; i < Readers; ++i)
        readers.push_back(std::make_unique<NotingReader>(bench, 'r'));
    bench.note('t', std::chrono::milliseconds(395));
    bench.pass(NoWait);
    for (const std::unique_ptr<NotingReader> &reader : readers)
        reader->receive();
    bench.pass(HoldUp);
    CHECK(bench.order == std::string(Readers, 'r') + 't');
}

TEST_CASE("a timer that is cancelled by bytes read after a hold-up doesn't run")
{
    // The stream's next event arrived in time, so its target isn't silent.
    Bench bench;
    NotingReader reader(bench, 'r');
    TimerId silence = bench.note('s', std::chrono::milliseconds(100));
    bench.pass(NoWait);
    reader.action = [&] { bench.loop.cancel(silence); };
    reader.receive();
    bench.pass(HoldUp);
    CHECK(bench.order == "r");
}

TEST_CASE("a handler that holds the loop up lets the other descriptors be read before timers")
{
    // Applying a large configuration is such a handler.
    Bench bench;
    NotingReader configuration(bench, 'c');
    NotingReader stream(bench, 'r');
    bench.note('t', std::chrono::milliseconds(300));
    bench.pass(NoWait);
    configuration.action = [&] {
        bench.clock.advance(HoldUp);
        stream.receive();
    };
    configuration.receive();
    bench.pass(NoWait);
    bench.pass(NoWait);
    CHECK(bench.order == "crt");
}

TEST_CASE("a timer that another timer sets runs after the descriptors were polled")
{
    // A connection that is about to be closed would lose a request that has just arrived.
    Bench bench;
    NotingReader reader(bench, 'r');
    bench.loop.after(NoWait, [&] { bench.note('t', NoWait); });
    reader.receive();
    bench.loop.runOnce(NoWait);
    bench.loop.runOnce(NoWait);
    CHECK(bench.order == "rt");
}

TEST_CASE("timers run though each event holds the loop up")
{
    // An overloaded loop would never reach a deadline.
    Bench bench;
    NotingReader reader(bench, 'r');
    reader.action = [&] {
        bench.clock.advance(HoldUp);
        reader.receive();
    };
    bench.note('t', std::chrono::milliseconds(10));
    reader.receive();
    bench.pass(HoldUp);
    CHECK(bench.order.find('t') != std::string::npos);
}

TEST_CASE("a loop that isn't late polls its descriptors once an iteration")
{
    // A second poll for each timer would cost a system call.
    Bench bench;
    const std::array<int, 2> ends = openPair();
    CountingEvents events;
    bench.loop.watch(ends[0], events);
    REQUIRE(write(ends[1], "x", 1) == 1);
    bench.note('t', std::chrono::milliseconds(1));
    bench.pass(NoWait);
    CHECK(events.readable == 1);
    bench.pass(std::chrono::milliseconds(1));
    CHECK(bench.order == "t");
    CHECK(events.readable == 2);
    bench.loop.unwatch(ends[0]);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("a hold-up of the loop is told with its length")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<Duration> told;
    loop.setHoldUpListener(std::chrono::milliseconds(100),
                           [&told](Duration held) { told.push_back(held); });
    loop.after(Duration::zero(), [&clock] { clock.advance(std::chrono::milliseconds(99)); });
    loop.runOnce(std::chrono::milliseconds(0));
    CHECK(told.empty());
    loop.after(Duration::zero(), [&clock] { clock.advance(std::chrono::milliseconds(250)); });
    loop.runOnce(std::chrono::milliseconds(0));
    REQUIRE(told.size() == 1);
    CHECK(told.front() == std::chrono::milliseconds(250));
    // The process got no processor while the loop waited for the timer.
    loop.after(std::chrono::milliseconds(1), [] {});
    loop.setWakeAction([&clock] { clock.advance(std::chrono::milliseconds(150)); });
    loop.wake();
    loop.runOnce(std::chrono::milliseconds(0));
    loop.runOnce(std::chrono::milliseconds(0));
    CHECK(told.size() == 2);
}

TEST_CASE("what woke the loop up came after the poll before")
{
    // A process that is held up must know how late it may have been told to stop.
    ManualClock clock;
    EventLoop loop(clock);
    const Instant before = clock.now();
    Instant told;
    loop.setWakeAction([&] { told = loop.polledBefore(); });
    loop.runOnce(std::chrono::milliseconds(0));
    loop.wake();
    clock.advance(std::chrono::seconds(2));
    loop.runOnce(std::chrono::milliseconds(0));
    CHECK(told == before);
    CHECK(clock.now() - told == std::chrono::seconds(2));
}

TEST_CASE("what woke the loop up may wait behind many other events")
{
    // A loaded daemon would take a signal of its hold-up for a new one.
    constexpr std::size_t ManyDescriptors = 150;
    ManualClock clock;
    EventLoop loop(clock);
    struct Reader : DescriptorEvents
    {
        void onReadable() override
        {
            char byte = 0;
            REQUIRE(read(descriptor, &byte, 1) == 1);
        }
        void onWritable() override { }
        int descriptor = -1;
    };
    std::vector<std::array<int, 2>> pipes(ManyDescriptors);
    std::vector<Reader> readers(ManyDescriptors);
    for (std::size_t i = 0; i < ManyDescriptors; ++i) {
        REQUIRE(pipe(pipes[i].data()) == 0);
        readers[i].descriptor = pipes[i][0];
        loop.watch(pipes[i][0], readers[i]);
    }
    const Instant before = clock.now();
    Instant told;
    loop.setWakeAction([&] { told = loop.polledBefore(); });
    loop.runOnce(std::chrono::milliseconds(0));
    for (const std::array<int, 2> &ends : pipes)
        REQUIRE(write(ends[1], "x", 1) == 1);
    loop.wake();
    clock.advance(std::chrono::seconds(2));
    for (int i = 0; i < 10 && told == Instant(); ++i)
        loop.runOnce(std::chrono::milliseconds(0));
    CHECK(told == before);
    for (const std::array<int, 2> &ends : pipes) {
        loop.unwatch(ends[0]);
        close(ends[0]);
        close(ends[1]);
    }
}
