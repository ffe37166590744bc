#include <apricothook_fault_matrix_page.hpp>
#include <apricothook_fault_scenario.hpp>

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

// The fault matrix of the brief: every fault at every step of a request's life. Each cell is one
// focused run on four real decision cores; docs/FAULT-MATRIX.md is generated from the same tables.
namespace Apricothook {

namespace {

std::string textOf(std::string_view name)
{
    return std::string(name);
}

void check(FaultScenario &scenario, Expected expected, const std::string &cell)
{
    INFO(cell);
    CHECK(nameOf(scenario.observed()) == nameOf(expected));
    for (const std::string &broken : scenario.brokenPromises())
        FAIL_CHECK(broken);
}

void run(const FaultRow &row, Step step, bool isEngine)
{
    const std::size_t column = static_cast<std::size_t>(step);
    const Expected expected = isEngine ? row.engine[column] : row.plain[column];
    if (expected == Expected::NotApplicable)
        return;
    FaultScenario scenario(step, isEngine);
    scenario.inject(row.fault);
    scenario.conclude();
    check(scenario, expected,
          textOf(nameOf(row.fault)) + " at '" + textOf(nameOf(step))
              + (isEngine ? "', engine" : "', plain service"));
}

void run(const FaultPair &pair, bool isEngine)
{
    FaultScenario scenario(pair.step, isEngine);
    scenario.inject(pair.first);
    scenario.inject(pair.second);
    scenario.conclude();
    check(scenario, isEngine ? pair.engine : pair.plain,
          textOf(nameOf(pair.first)) + ", then " + textOf(nameOf(pair.second)) + " at '"
              + textOf(nameOf(pair.step)) + (isEngine ? "', engine" : "', plain service"));
}

void run(MessageKind kind, MessageFault fault, bool isEngine, bool isRefusedFirst)
{
    FaultScenario scenario(Step::Arriving, isEngine);
    if (isRefusedFirst)
        scenario.inject(Fault::TargetRefuses);
    scenario.injectMessages(kind, fault);
    scenario.conclude();
    check(scenario, isRefusedFirst ? Expected::AnsweredAfterNotRun : Expected::AnsweredOnce,
          textOf(nameOf(kind)) + " " + textOf(nameOf(fault)));
}

} // namespace

TEST_SUITE("[faults]")
{
    // The caller sends a request, a fault comes at one step of its life, and the caller who has no
    // answer sends its key again at another entry. Whatever comes, the key runs once at most, "not
    // run" is true, bytes are those of its own answer, and no generation falls.
    TEST_CASE("Every fault at every step leaves each request in an expected and true end")
    {
        for (std::size_t i = 0; i < Steps; ++i) {
            const Step step = static_cast<Step>(i);
            SUBCASE(textOf(nameOf(step)).c_str())
            {
                for (const FaultRow &row : faultRows()) {
                    run(row, step, false);
                    run(row, step, true);
                }
            }
        }
    }

    // Two faults come together, or the second while the first is being mended: who would have
    // known how the request ended is gone, or the key is sent again meanwhile.
    TEST_CASE("Pairs of faults at the steps around the grant and the run keep the same promises")
    {
        for (const FaultPair &pair : faultPairs()) {
            run(pair, false);
            run(pair, true);
        }
    }

    // Messages between daemons are lost, doubled, late, or arrive once more long after. The caller
    // sees a whole answer, also where its first target had refused the request.
    TEST_CASE("A message of any kind that is lost, doubled or late costs no request its answer")
    {
        for (std::size_t kind = 0; kind < MessageKinds; ++kind) {
            for (std::size_t fault = 0; fault < MessageFaults; ++fault) {
                for (const bool isEngine : {false, true}) {
                    for (const bool isRefusedFirst : {false, true})
                        run(static_cast<MessageKind>(kind), static_cast<MessageFault>(fault),
                            isEngine, isRefusedFirst);
                }
            }
        }
    }

    // A request crashes every target that runs it, and its caller sends it again under new keys at
    // entry after entry. The second crash that it alone explains puts it into quarantine; further
    // calls are told that they were not run, and the other targets live on.
    TEST_CASE("A request that crashes its targets is refused after two of them")
    {
        FaultBench bench;
        for (const Target &target : bench.text().targets)
            bench.targets.modes[target.id] = TargetMode::Crashes;
        std::size_t last = 0;
        for (const std::size_t entry : {0U, 1U, 2U, 3U, 0U}) {
            last = bench.call(entry, "", "a poisonous prompt", "chat");
            bench.advance(std::chrono::seconds(3));
        }
        CHECK(bench.targets.runs.size() == 2);
        REQUIRE(bench.endOf(last) == CallEnd::NotRun);
        CHECK(bench.callAt(last).answer->refusal()->reason == RefusalReason::Quarantined);
        CHECK(bench.brokenPromises().empty());
    }

    // Work of a lower tier fills every slot and the whole queue, and then more important work
    // comes. It finds its way, and nothing of the lower tier begins in its place.
    TEST_CASE("A burst of a lower tier costs the higher tier no answer")
    {
        FaultBench bench;
        for (int i = 0; i < 1200; ++i)
            bench.call(static_cast<std::size_t>(i % 4), "", "low work", "booking", "low");
        bench.targets.answersAlone = true;
        std::vector<std::size_t> high;
        for (int i = 0; i < 20; ++i) {
            high.push_back(bench.call(static_cast<std::size_t>(i % 4), "", "high work", "booking"));
            bench.advance(std::chrono::milliseconds(50));
        }
        bench.advance(std::chrono::seconds(10));
        for (const std::size_t call : high) {
            const std::optional<Refusal> refusal = bench.callAt(call).answer->refusal();
            CHECK((refusal ? nameOf(refusal->reason) : "answered") == "answered");
        }
        CHECK(bench.brokenPromises().empty());
    }

    TEST_CASE("The page of the fault matrix is that of its tables")
    {
        const std::string path = std::string(APRICOTHOOK_SOURCE_DIR) + "/docs/FAULT-MATRIX.md";
        if (std::getenv("APRICOTHOOK_WRITE_FAULT_MATRIX") != nullptr)
            std::ofstream(path) << faultMatrixPage();
        std::ifstream file(path);
        const std::string page {std::istreambuf_iterator<char>(file), {}};
        CHECK_MESSAGE(page == faultMatrixPage(), "run tools/scripts/fault-matrix");
    }
}

} // namespace Apricothook
