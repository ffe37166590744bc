#include <apricothook/caller/apricothook_request_sketch.hpp>

#include <apricothook/caller/internal/apricothook_request_headers.hpp>
#include <apricothook/caller/internal/apricothook_route.hpp>
#include <apricothook/model/apricothook_hashing.hpp>

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

using namespace Apricothook;

namespace {

RequestProfile sketchOfBody(std::string_view body,
                            std::string_view contentType = "application/json")
{
    return sketchOf({"POST", "llm", "/v1/completions", contentType, body});
}

std::string completion(std::string_view prompt)
{
    return R"({"model":"m1","prompt":")" + std::string(prompt) + R"(","maxTokens":64})";
}

std::size_t fuzzInputs()
{
    const char *const asked = std::getenv("APRICOTHOOK_FUZZ_INPUTS");
    return asked ? std::strtoull(asked, nullptr, 10) : 20000;
}

/** Mostly pieces that the parsers look for, in wrong places. */
std::string randomText(std::mt19937_64 &random)
{
    static const std::vector<std::string> pieces {"/v1/services/",
                                                  "/v1/requests/",
                                                  "/v1/entries",
                                                  "%2e",
                                                  "%",
                                                  "..",
                                                  "/",
                                                  "?",
                                                  "wait=",
                                                  ",",
                                                  "bearer ",
                                                  "{\"prompt\":\"",
                                                  "\"",
                                                  "}",
                                                  "[",
                                                  "\\",
                                                  "\\u00",
                                                  "\"maxTokens\":",
                                                  "-1",
                                                  "1e999",
                                                  "4294967296",
                                                  "\xff",
                                                  std::string(1, '\0'),
                                                  std::string(1200, 'p'),
                                                  "\"model\":",
                                                  ":",
                                                  " "};
    std::string text;
    for (std::uint64_t left = random() % 12; left > 0; --left)
        text += random() % 5 == 0 ? std::string(1, static_cast<char>(random()))
                                  : pieces[random() % pieces.size()];
    return text;
}

} // namespace

TEST_SUITE("[caller][sketch]")
{
    TEST_CASE("A completion's sketch has its model, lengths and beginnings")
    {
        const RequestProfile sketch = sketchOfBody(completion(std::string(2049, 'a')));
        CHECK(sketch.model == ModelId("m1"));
        CHECK(sketch.promptTokens == 513);
        CHECK(sketch.maximumTokens == 64);
        const std::uint64_t first = hashOf(std::string(1024, 'a'), 0);
        const std::uint64_t second = hashOf(std::string(1024, 'a'), first);
        CHECK(sketch.prefixes == std::vector<PrefixHash> {PrefixHash(first), PrefixHash(second)});
    }

    TEST_CASE("Entry i covers the first 2^i blocks")
    {
        const std::string prompt(9UL * 1024, 'b');
        const auto all = prefixHashesOf(prompt);
        REQUIRE(all.size() == 4);
        for (std::size_t entry = 0; entry < all.size(); ++entry)
            CHECK(prefixHashesOf(prompt.substr(0, 1024U << entry)).back() == all[entry]);
        CHECK(prefixHashesOf(std::string(1023, 'b')).empty());
    }

    TEST_CASE("What isn't a completion counts by its size")
    {
        for (const char *body : {"{\"prompt\":", "[1,2]", R"({"prompt":7})", "plain \"prompt\""}) {
            const RequestProfile sketch = sketchOfBody(body);
            CHECK(sketch.promptTokens == (std::string_view(body).size() + 3) / 4);
            CHECK(sketch.model.isEmpty());
        }
        CHECK(sketchOfBody(completion("x"), "text/plain").model.isEmpty());
        CHECK(sketchOfBody(R"({"prompt":"x","maxTokens":-5})").maximumTokens == 0);
        CHECK(sketchOfBody(R"({"prompt":"x","maxTokens":5000000000})").maximumTokens == 0);
    }

    TEST_CASE("A document of many values or great depth isn't parsed")
    {
        // Eight megabytes of "0," would take half a gigabyte once parsed, and a deep nest the
        // stack.
        std::string many = R"({"prompt":"x","model":"m","a":[0)";
        for (int value = 0; value < 2000; ++value)
            many += ",0";
        CHECK(sketchOfBody(many + "]}").model.isEmpty());
        const std::string deep = R"({"prompt":"x","model":"m","a":)" + std::string(500, '[')
            + std::string(500, ']') + "}";
        CHECK(sketchOfBody(deep).model.isEmpty());
        CHECK(sketchOfBody(R"({"prompt":",,,,[[[[","model":"m"})").model == ModelId("m"));
    }

    TEST_CASE("The fingerprint tells method, service, path and body apart")
    {
        const auto print = [](SketchSource source) { return sketchOf(source).fingerprint; };
        const SketchSource source {"POST", "s", "/a", "", "body"};
        CHECK(print(source) == print({"POST", "s", "/a", "text/plain", "body"}));
        CHECK(print(source) != print({"PUT", "s", "/a", "", "body"}));
        CHECK(print(source) != print({"POST", "t", "/a", "", "body"}));
        CHECK(print(source) != print({"POST", "s", "/b", "", "body"}));
        CHECK(print(source) != print({"POST", "s", "/abody", "", ""}));
    }

    TEST_CASE("No header, path or body upsets the parsers")
    {
        std::mt19937_64 random(20261202);
        const std::vector<std::string> names {"Authorization",     "Idempotency-Key", "Prefer",
                                              "Apricothook-Class", "Content-Type",    "Connection"};
        std::size_t accepted = 0;
        for (std::size_t left = fuzzInputs(); left > 0; --left) {
            const std::string text = randomText(random);
            const auto headers
                = parseRequestHeaders({{names[random() % names.size()], text}, {"X", text}});
            if (headers && !headers.value().key.isEmpty())
                REQUIRE(isGoodKey(headers.value().key.text()));
            const auto route = parseRoute("GET", text);
            accepted += route.has_value() ? 1 : 0;
            if (route && std::holds_alternative<ServiceRoute>(route.value()))
                REQUIRE(std::get<ServiceRoute>(route.value()).path.starts_with('/'));
            const RequestProfile sketch = sketchOfBody(text);
            REQUIRE(sketch.prefixes.size() <= MaximumPrefixes);
            REQUIRE(sketch.promptTokens <= text.size() / 4 + 1);
        }
        CHECK(accepted > 0);
    }
}
