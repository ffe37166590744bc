#include <apricothook/suspects/apricothook_answered_requests.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("an answered request is remembered for a limited time")
{
    ManualClock clock;
    AnsweredRequests answered;
    answered.add(Fingerprint(1), clock.now());
    clock.advance(AnsweredRequests::RetentionTime);
    answered.add(Fingerprint(2), clock.now());
    CHECK(answered.contains(Fingerprint(1)));
    clock.advance(AnsweredRequests::RetentionTime);
    answered.add(Fingerprint(3), clock.now());
    CHECK_FALSE(answered.contains(Fingerprint(1)));
    CHECK(answered.contains(Fingerprint(2)));
}

TEST_CASE("any number of answered requests takes bounded memory")
{
    ManualClock clock;
    AnsweredRequests answered;
    for (std::uint64_t number = 1; number <= 3 * AnsweredRequests::GenerationCapacity; ++number)
        answered.add(Fingerprint(number), clock.now());
    CHECK_FALSE(answered.contains(Fingerprint(1)));
    CHECK(answered.contains(Fingerprint(3 * AnsweredRequests::GenerationCapacity)));
}
