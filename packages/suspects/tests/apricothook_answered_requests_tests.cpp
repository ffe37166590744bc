#include <apricothook/suspects/apricothook_answered_requests.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("an answered request is remembered for a while, and not for good")
{
    HandClock clock;
    AnsweredRequests answered;
    answered.note(Fingerprint(1), clock.now());
    clock.advance(AnsweredRequests::Memory);
    answered.note(Fingerprint(2), clock.now());
    CHECK(answered.has(Fingerprint(1)));
    clock.advance(AnsweredRequests::Memory);
    answered.note(Fingerprint(3), clock.now());
    CHECK_FALSE(answered.has(Fingerprint(1)));
    CHECK(answered.has(Fingerprint(2)));
}

TEST_CASE("any number of answered requests takes bounded memory")
{
    HandClock clock;
    AnsweredRequests answered;
    for (std::uint64_t number = 1; number <= 3 * AnsweredRequests::MostRemembered; ++number)
        answered.note(Fingerprint(number), clock.now());
    CHECK_FALSE(answered.has(Fingerprint(1)));
    CHECK(answered.has(Fingerprint(3 * AnsweredRequests::MostRemembered)));
}
