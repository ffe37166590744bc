#include <apricothook/gateway/apricothook_caller_memory.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace Apricothook;

namespace {

constexpr std::size_t Small = CallerResources::SmallBytes;

/** Gives its share up when it is asked to. */
class Holder : public MemoryShareOwner
{
public:
    Holder(CallerMemory &memory, std::uint64_t customer, bool waits = true)
        : share(std::in_place, memory, *this)
    {
        share->setCustomer(customer);
        share->setWaitsForCaller(waits);
    }
    void onEvicted(EvictionCause cause) override
    {
        evicted = cause;
        share.reset();
    }

    std::optional<EvictionCause> evicted;
    std::optional<MemoryShare> share;
};

struct Fixture
{
    void passTime(std::chrono::milliseconds time)
    {
        clock.advance(time);
        runEvictions();
    }
    void runEvictions()
    {
        for (int i = 0; i < 3; ++i)
            loop.runOnce(std::chrono::milliseconds(0));
    }

    ManualClock clock;
    EventLoop loop {clock};
    CallerMemory memory {loop, {.heldBytes = 40 * Small, .largeBytes = 30 * Small}};
};

} // namespace

TEST_CASE("the smallest VM has room for a body of the usual longest size")
{
    // Guards against limits that refuse every large body where a process has little memory.
    constexpr std::uint64_t LongestBody = 4194304;
    const CallerResources limits = callerResources({160'000'000, 4100});
    CHECK(limits.largeBytes > 4 * LongestBody);
    CHECK(limits.connections == 2925);
    CHECK(limits.heldBytes + limits.connections * limits.buffers.receive < 160'000'000);
    const CallerResources least = callerResources({1, 1});
    CHECK(least.connections == 16);
}

TEST_CASE("bytes are given back with their share")
{
    // Guards against memory that each crowd of callers leaves a little less of.
    Fixture fixture;
    for (int crowd = 0; crowd < 10; ++crowd) {
        std::vector<std::unique_ptr<Holder>> holders;
        for (int i = 0; i < 6; ++i) {
            holders.push_back(std::make_unique<Holder>(fixture.memory, i));
            REQUIRE(holders.back()->share->reserve(HeldFor::Body, 4 * Small));
            holders.back()->share->record(HeldFor::Input, 100);
        }
        CHECK(fixture.memory.held(HeldFor::Body) == 24 * Small);
    }
    CHECK(fixture.memory.held() == 0);
}

TEST_CASE("large bodies leave room for small requests")
{
    // Guards against uploads that make progress and keep out all other callers.
    Fixture fixture;
    std::vector<std::unique_ptr<Holder>> uploads;
    for (int i = 0; i < 9; ++i) {
        uploads.push_back(std::make_unique<Holder>(fixture.memory, 1));
        REQUIRE(uploads.back()->share->reserve(HeldFor::Body, 4 * Small));
    }
    Holder next(fixture.memory, 1);
    CHECK_FALSE(next.share->reserve(HeldFor::Body, 5 * Small));
    CHECK(next.share->reserve(HeldFor::Body, Small / 2));
    CHECK_FALSE(uploads.front()->evicted);
}

TEST_CASE("a body that can never fit evicts nobody")
{
    // Guards against one request that empties the memory and is refused all the same.
    Fixture fixture;
    Holder upload(fixture.memory, 1);
    REQUIRE(upload.share->reserve(HeldFor::Body, 20 * Small));
    fixture.passTime(std::chrono::seconds(5));
    Holder huge(fixture.memory, 2);
    CHECK_FALSE(huge.share->reserve(HeldFor::Body, 100 * Small));
    fixture.runEvictions();
    CHECK_FALSE(upload.evicted);
}

TEST_CASE("a caller that has stopped makes room, one that makes progress doesn't")
{
    // Guards against bodies that stop just before their end and keep ordinary callers out.
    Fixture fixture;
    Holder stopped(fixture.memory, 1);
    REQUIRE(stopped.share->reserve(HeldFor::Body, 15 * Small));
    Holder steady(fixture.memory, 1);
    REQUIRE(steady.share->reserve(HeldFor::Body, 15 * Small));
    Holder next(fixture.memory, 1);
    CHECK_FALSE(next.share->reserve(HeldFor::Body, 12 * Small));
    fixture.clock.advance(std::chrono::milliseconds(1100));
    stopped.share->recordProgress(3);
    steady.share->recordProgress(Small);
    CHECK(next.share->reserve(HeldFor::Body, 12 * Small));
    fixture.runEvictions();
    CHECK(stopped.evicted == EvictionCause::Stalled);
    CHECK_FALSE(steady.evicted);
    CHECK(fixture.memory.held() <= fixture.memory.limits().heldBytes);
}

TEST_CASE("a request that is being served isn't evicted")
{
    // Guards against requests that are cut though they may run.
    Fixture fixture;
    Holder served(fixture.memory, 1, false);
    REQUIRE(served.share->reserve(HeldFor::Request, 25 * Small));
    fixture.passTime(std::chrono::seconds(5));
    Holder next(fixture.memory, 2);
    CHECK_FALSE(next.share->reserve(HeldFor::Body, 12 * Small));
    fixture.runEvictions();
    CHECK_FALSE(served.evicted);
}

TEST_CASE("a customer with many uploads makes room for one with few")
{
    // Guards against a crowd of one customer that makes progress and keeps out the others.
    Fixture fixture;
    std::vector<std::unique_ptr<Holder>> crowd;
    for (int i = 0; i < 7; ++i) {
        crowd.push_back(std::make_unique<Holder>(fixture.memory, 1));
        REQUIRE(crowd.back()->share->reserve(HeldFor::Body, 5 * Small));
    }
    Holder own(fixture.memory, 1);
    CHECK_FALSE(own.share->reserve(HeldFor::Body, 7 * Small));
    Holder other(fixture.memory, 2);
    CHECK(other.share->reserve(HeldFor::Body, 7 * Small));
    fixture.runEvictions();
    const auto evicted = std::ranges::count_if(
        crowd, [](const std::unique_ptr<Holder> &holder) { return holder->evicted.has_value(); });
    CHECK(evicted >= 1);
    CHECK(evicted <= 2);
}

TEST_CASE("a caller that goes on before it is evicted keeps its bytes")
{
    // Guards against requests that are refused though they were completed in the same moment.
    Fixture fixture;
    Holder stopped(fixture.memory, 1);
    REQUIRE(stopped.share->reserve(HeldFor::Body, 25 * Small));
    fixture.clock.advance(std::chrono::seconds(2));
    Holder next(fixture.memory, 1);
    REQUIRE(next.share->reserve(HeldFor::Body, 10 * Small));
    stopped.share->setWaitsForCaller(false);
    fixture.runEvictions();
    CHECK_FALSE(stopped.evicted);
    CHECK(fixture.memory.held() == 35 * Small);
}
