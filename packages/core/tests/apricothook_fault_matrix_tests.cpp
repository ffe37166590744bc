#include <apricothook_fault_scenario.hpp>

#include <doctest/doctest.h>

#include <string>

// The fault matrix of the brief: every fault at every step of a request's life. Each cell is one
// focused run on four real decision cores; docs/FAULT-MATRIX.md is generated from the same table.
namespace Apricothook {

namespace {

void run(const FaultRow &row, Step step, bool isEngine)
{
    const std::size_t column = static_cast<std::size_t>(step);
    const Expected expected = isEngine ? row.engine[column] : row.plain[column];
    if (expected == Expected::NotApplicable)
        return;
    FaultScenario scenario(step, isEngine);
    scenario.inject(row.fault);
    scenario.conclude();
    const std::string cell = std::string(nameOf(row.fault)) + " at '" + std::string(nameOf(step))
        + (isEngine ? "', engine" : "', plain service");
    INFO(cell);
    CHECK(nameOf(scenario.observed()) == nameOf(expected));
    for (const std::string &broken : scenario.brokenPromises())
        FAIL_CHECK(broken);
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
            SUBCASE(std::string(nameOf(step)).c_str())
            {
                for (const FaultRow &row : faultRows()) {
                    run(row, step, false);
                    run(row, step, true);
                }
            }
        }
    }
}

} // namespace Apricothook
