#include <apricothook/testing/apricothook_engine_stand_in.hpp>
#include <apricothook/testing/apricothook_plain_stand_in.hpp>
#include <apricothook/testing/load/apricothook_load_run.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace std::chrono_literals;

namespace {

constexpr const char *Fleet = R"({"classes": [
    {"id": "charge", "tier": 1, "patienceSeconds": 5},
    {"id": "chat", "tier": 2, "patienceSeconds": 5}]})";
constexpr const char *Mix = R"({"requests": [
    {"name": "charge", "weight": 1, "class": "charge", "service": "booking", "path": "/charges"},
    {"name": "chat", "weight": 1, "class": "chat", "service": "chat", "model": "m",
     "promptBytes": [10, 1000], "maxTokens": [1, 5], "histories": 2, "historyBytes": [2000, 3000]}],
    "resendShare": 0})";

SiteTarget targetOf(const std::string &service, bool isEngine, std::uint16_t port)
{
    return {service, "vm", {"127.0.0.1", port}, isEngine, false, {}};
}

Attempt refusedAsNotRun()
{
    Attempt attempt;
    attempt.end = AttemptEnd::Refused;
    attempt.outcome = "not-run";
    return attempt;
}

Attempt answeredWhole()
{
    Attempt attempt;
    attempt.end = AttemptEnd::Whole;
    return attempt;
}

} // namespace

TEST_SUITE("[load]")
{
    TEST_CASE("The same seed draws the same requests, and a history's prompts share a beginning")
    {
        const LoadMix mix = *parseMix(Mix, Fleet);
        LoadSource one(mix, 7);
        LoadSource two(mix, 7);
        std::map<std::string, int> beginnings;
        for (int i = 0; i < 40; ++i) {
            const LoadRequest request = one.next();
            CHECK(request.body == two.next().body);
            if (request.kind->isEngine())
                ++beginnings[request.completion.prompt.substr(0, 1000)];
        }
        CHECK(beginnings.size() <= 8); // Two histories that start afresh now and then.
    }

    TEST_CASE("A class that the fleet text doesn't have is refused")
    {
        CHECK_FALSE(parseMix(Mix, R"({"classes": []})").has_value());
    }

    TEST_CASE("A run counts every request, and the targets' counts agree")
    {
        EngineOptions options;
        options.prefillRate = 1e6;
        options.decodeRate = 1000;
        EngineStandIn engine(options);
        PlainStandIn plain(PlainOptions {});
        BaselineRouter router(
            {targetOf("chat", true, engine.port()), targetOf("booking", false, plain.port())},
            BaselinePolicy::RoundRobin);
        const LoadMix mix = *parseMix(Mix, Fleet);
        LoadRun run(mix, {.rate = 100, .length = 500ms, .drain = 20s}, router);
        run.run([](int, std::size_t) {});
        std::map<std::string, RunCount> runs;
        std::size_t good = 0;
        for (const auto &[key, record] : run.ledger().records()) {
            good += record.isGood() ? 1 : 0;
            runs[key] = record.kind->isEngine() ? engine.runs(key) : plain.runs(key);
        }
        CHECK(good > 10);
        CHECK(good == run.ledger().records().size());
        CHECK(run.ledger().wrongAnswers().empty());
        CHECK(run.ledger().wrongRuns(runs).empty());
    }

    TEST_CASE("Each broken promise is found")
    {
        // A caller was refused as not run, or got its answer. The targets' own counts are the
        // truth: a second run, a run after "not run", or an answer out of nowhere must show.
        LoadRequest request;
        const LoadKind kind;
        request.kind = &kind;
        LoadLedger ledger;
        ledger.open("k", request);
        SUBCASE("run twice")
        {
            ledger.add("k", answeredWhole());
            CHECK(ledger.wrongRuns({{"k", {2, 2, 1, 0}}}).size() == 1);
            CHECK(ledger.wrongRuns({{"k", {1, 1, 1, 0}}}).empty());
        }
        SUBCASE("run though refused as not run")
        {
            ledger.add("k", refusedAsNotRun());
            CHECK(ledger.wrongRuns({{"k", {1, 1, 0, 0}}}).size() == 1);
            CHECK(ledger.wrongRuns({}).empty());
        }
        SUBCASE("run by a resend after a true refusal")
        {
            ledger.add("k", refusedAsNotRun());
            ledger.add("k", answeredWhole());
            CHECK(ledger.wrongRuns({{"k", {1, 1, 1, 0}}}).empty());
        }
        SUBCASE("answered by nobody")
        {
            ledger.add("k", answeredWhole());
            CHECK(ledger.wrongRuns({}).size() == 1);
        }
        SUBCASE("answered with the bytes of another")
        {
            Attempt wrong = answeredWhole();
            wrong.end = AttemptEnd::WrongBytes;
            ledger.add("k", wrong);
            CHECK(ledger.wrongAnswers().size() == 1);
        }
    }
}
