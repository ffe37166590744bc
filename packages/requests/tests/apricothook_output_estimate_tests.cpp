#include <apricothook/requests/apricothook_output_estimate.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

RequestClass review()
{
    RequestClass requestClass;
    requestClass.id = ClassId("review");
    requestClass.expectedTokens = 300;
    return requestClass;
}

} // namespace

TEST_SUITE("[requests][output]")
{
    TEST_CASE("Before the first answer the text's expectation counts, within the maximum")
    {
        const OutputEstimate estimate;
        CHECK(estimate.expected(review(), 0) == 300);
        CHECK(estimate.expected(review(), 40) == 40);
    }

    TEST_CASE("Where answers use up their maximum, a long one isn't taken for the mean")
    {
        // Answers of 20 and of 100 tokens, each as long as allowed. Taken for the mean of 60, a
        // long one is put on a slow target, misses its patience there and its prefill is thrown
        // away.
        OutputEstimate estimate;
        for (int count = 0; count < 20; ++count) {
            estimate.learn(review().id, 20, 20);
            estimate.learn(review().id, 100, 100);
        }
        CHECK(estimate.expected(review(), 100) == 100);
        CHECK(estimate.expected(review(), 20) == 20);
        CHECK(estimate.expected(review(), 0) < 100);
    }

    TEST_CASE("Where all write the same large maximum, the mean counts")
    {
        // Maxima are mostly 4,096, once in a while 50,000, and every answer has about 100 tokens.
        // By the share a request that allows 50,000 would seem too long for every target.
        OutputEstimate estimate;
        for (int count = 0; count < 40; ++count)
            estimate.learn(review().id, 100, count % 4 == 0 ? 50000 : 4096);
        CHECK(estimate.expected(review(), 50000) == 100);
    }
}
