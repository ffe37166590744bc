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

TEST_CASE("An answer stream gives the reader the writer's bytes, once and in order")
{
    AnswerStream stream;
    int wakes = 0;
    stream.setReadableCallback([&wakes] { ++wakes; });
    CHECK(stream.begin(AnswerHead {200, {}}));
    CHECK(stream.append("one "));
    CHECK(stream.append("two"));
    CHECK(readAll(stream) == "one two");
    CHECK_FALSE(stream.isReadable());
    stream.finish();
    CHECK(stream.isReadable());
    CHECK(stream.state() == AnswerStream::State::Finished);
    CHECK(wakes == 4);
}

TEST_CASE("A refusal after the head is a cut, as the status can't be taken back")
{
    AnswerStream stream;
    stream.begin(AnswerHead {200, {}});
    stream.refuse(Refusal {RefusalReason::TargetFailed, Outcome::Unknown, {}});
    CHECK(stream.state() == AnswerStream::State::Cut);
}

TEST_CASE("A slow reader pauses the writer and wakes it when half of the room is free")
{
    AnswerStream stream;
    int wakes = 0;
    stream.setRoomCallback([&wakes] { ++wakes; });
    stream.begin(AnswerHead {200, {}});
    CHECK_FALSE(stream.append(std::string(AnswerStream::Capacity, 'x')));
    std::array<char, AnswerStream::Capacity / 4> bytes;
    stream.read(bytes.data(), bytes.size());
    CHECK(wakes == 0);
    stream.read(bytes.data(), bytes.size());
    CHECK(wakes == 1);
}

TEST_CASE("An answer is retained only whole and within the limit")
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

TEST_CASE("A full ring refuses at once and takes again when it has room")
{
    BoundedQueue<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.tryPop() == 1);
    CHECK(ring.tryPush(4));
    CHECK(ring.tryPop() == 2);
    CHECK(ring.tryPop() == 4);
    CHECK_FALSE(ring.tryPop());
}

TEST_CASE("Values put by several threads are each taken once")
{
    constexpr int PerThread = 2000;
    BoundedQueue<int> ring(64);
    const auto put = [&ring] {
        for (int i = 0; i < PerThread; ++i) {
            while (!ring.tryPush(i))
                std::this_thread::yield();
        }
    };
    std::thread first(put);
    std::thread second(put);
    long sum = 0;
    for (int taken = 0; taken < 2 * PerThread;) {
        if (const std::optional<int> value = ring.pop(std::chrono::seconds(10))) {
            sum += *value;
            ++taken;
        }
    }
    first.join();
    second.join();
    CHECK(sum == static_cast<long>(PerThread) * (PerThread - 1));
}
