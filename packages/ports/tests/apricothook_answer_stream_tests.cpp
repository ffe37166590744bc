#include <apricothook/ports/apricothook_answer_stream.hpp>
#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>

#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace Apricothook;

namespace {

std::string readAll(AnswerStream &stream)
{
    std::array<char, 100> bytes;
    std::string all;
    while (const std::size_t count = stream.read(bytes.data(), bytes.size()))
        all.append(bytes.data(), count);
    return all;
}

} // namespace

TEST_CASE("An answer stream delivers all written bytes in order")
{
    AnswerStream stream;
    int wakeups = 0;
    stream.setReadableCallback([&wakeups] { ++wakeups; });
    CHECK(stream.begin(AnswerHead {200, {}}));
    CHECK(stream.append("one "));
    CHECK(stream.append("two"));
    CHECK(readAll(stream) == "one two");
    CHECK_FALSE(stream.isReadable());
    stream.finish();
    CHECK(stream.isReadable());
    CHECK(stream.state() == AnswerStream::State::Finished);
    CHECK(wakeups == 4);
}

TEST_CASE("A refusal after the head aborts the answer, as the status was already sent")
{
    AnswerStream stream;
    stream.begin(AnswerHead {200, {}});
    stream.refuse(Refusal {RefusalReason::TargetFailed, Outcome::Unknown, {}});
    CHECK(stream.state() == AnswerStream::State::Aborted);
}

TEST_CASE("A slow reader pauses the writer and resumes it when the buffer is half empty")
{
    AnswerStream stream;
    int wakeups = 0;
    stream.setWritableCallback([&wakeups] { ++wakeups; });
    stream.begin(AnswerHead {200, {}});
    CHECK_FALSE(stream.append(std::string(AnswerStream::Capacity, 'x')));
    std::array<char, AnswerStream::Capacity / 4> bytes;
    stream.read(bytes.data(), bytes.size());
    CHECK(wakeups == 0);
    stream.read(bytes.data(), bytes.size());
    CHECK(wakeups == 1);
}

TEST_CASE("An answer is retained only if it is complete and within the limit")
{
    AnswerStream stream;
    stream.retain(4);
    stream.begin(AnswerHead {200, {}});
    stream.append("1234");
    CHECK(stream.retained() == nullptr);
    SUBCASE("within the limit")
    {
        stream.finish();
        REQUIRE(stream.retained());
        CHECK(stream.retained()->body == "1234");
    }
    SUBCASE("over the limit")
    {
        stream.append("5");
        stream.finish();
        CHECK(stream.retained() == nullptr);
    }
}

TEST_CASE("A full queue rejects values immediately and accepts them when it has capacity")
{
    BoundedQueue<int> queue(2);
    CHECK(queue.tryPush(1));
    CHECK(queue.tryPush(2));
    CHECK_FALSE(queue.tryPush(3));
    CHECK(queue.tryPop() == 1);
    CHECK(queue.tryPush(4));
    CHECK(queue.tryPop() == 2);
    CHECK(queue.tryPop() == 4);
    CHECK_FALSE(queue.tryPop());
}

TEST_CASE("Each value pushed by several threads is popped exactly once")
{
    constexpr int PerThread = 2000;
    BoundedQueue<int> queue(64);
    const auto push = [&queue] {
        for (int i = 0; i < PerThread; ++i) {
            while (!queue.tryPush(i))
                std::this_thread::yield();
        }
    };
    std::thread first(push);
    std::thread second(push);
    long sum = 0;
    for (int popped = 0; popped < 2 * PerThread;) {
        if (const std::optional<int> value = queue.pop(std::chrono::seconds(10))) {
            sum += *value;
            ++popped;
        }
    }
    first.join();
    second.join();
    CHECK(sum == static_cast<long>(PerThread) * (PerThread - 1));
}
