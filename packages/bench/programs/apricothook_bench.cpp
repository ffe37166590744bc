// Measures the decisions. Without arguments: times and allocations by Google Benchmark, whose
// options work here. "--count": all cases under callgrind, one dump for each case and size.

#include <apricothook/bench/apricothook_allocation_count.hpp>
#include <apricothook/bench/apricothook_bench_case.hpp>

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <iostream>
#include <string_view>
#include <valgrind/callgrind.h>

using namespace Apricothook;

namespace {

/** Operations before measuring, so that tables and buffers have their usual size. */
constexpr std::size_t WarmUp = 50;
/** Under callgrind, which takes some fifty times as long. */
constexpr std::size_t FewestCounted = 5;
constexpr std::size_t MostCounted = 100;

std::string nameOf(const BenchCase &item, std::size_t size)
{
    return item.name + "/" + std::to_string(size);
}

void warmUp(BenchSubject &subject, std::size_t operations)
{
    for (std::size_t i = 0; i < operations; ++i) {
        subject.prepare();
        subject.operate();
    }
}

double quantile(std::vector<double> &samples, double share)
{
    const auto place
        = samples.begin() + static_cast<long>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), place, samples.end());
    return *place;
}

void run(benchmark::State &state, const BenchCase &item, std::size_t size)
{
    using Clock = std::chrono::steady_clock;
    const std::unique_ptr<BenchSubject> subject = item.make(size);
    warmUp(*subject, std::min(WarmUp, item.operations / 2));
    std::vector<double> samples;
    samples.reserve(item.operations);
    std::uint64_t allocations = 0;
    for (auto _ : state) {
        subject->prepare();
        const std::uint64_t before = allocationsNow().allocations;
        const Clock::time_point begin = Clock::now();
        subject->operate();
        const Clock::time_point end = Clock::now();
        allocations += allocationsNow().allocations - before;
        samples.push_back(std::chrono::duration<double>(end - begin).count());
        state.SetIterationTime(samples.back());
    }
    state.counters["allocations"]
        = static_cast<double>(allocations) / static_cast<double>(samples.size());
    state.counters["p50us"] = quantile(samples, 0.5) * 1e6;
    state.counters["p99us"] = quantile(samples, 0.99) * 1e6;
    for (const BenchFigure &figure : subject->figures())
        state.counters[figure.name] = figure.value;
}

/** One dump for each case; its totals are the instructions of all its operations. */
void count(const BenchCases &cases, std::string_view only)
{
    for (const BenchCase &item : cases) {
        if (item.name.find(only) == std::string::npos)
            continue;
        const std::size_t operations = std::clamp(item.operations / 20, FewestCounted, MostCounted);
        for (const std::size_t size : item.sizes) {
            const std::unique_ptr<BenchSubject> subject = item.make(size);
            warmUp(*subject, std::min(WarmUp, item.operations / 2));
            CALLGRIND_ZERO_STATS;
            // Once only: each start throws away all code that valgrind has translated.
            CALLGRIND_START_INSTRUMENTATION;
            for (std::size_t i = 0; i < operations; ++i) {
                subject->prepare();
                CALLGRIND_TOGGLE_COLLECT;
                subject->operate();
                CALLGRIND_TOGGLE_COLLECT;
            }
            CALLGRIND_STOP_INSTRUMENTATION;
            const std::string dump
                = nameOf(item, size) + " operations=" + std::to_string(operations);
            CALLGRIND_DUMP_STATS_AT(dump.c_str());
        }
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    BenchCases cases;
    addStewardCases(cases);
    addHomeCases(cases);
    addMemberCases(cases);
    addConfigurationCases(cases);
    addCoreCases(cases);
    addBeliefCases(cases);
    if (argumentCount > 1 && std::string_view(arguments[1]) == "--count") {
        count(cases, argumentCount > 2 ? arguments[2] : "");
        return 0;
    }
    for (const BenchCase &item : cases) {
        for (const std::size_t size : item.sizes) {
            benchmark::RegisterBenchmark(
                nameOf(item, size).c_str(),
                [&item, size](benchmark::State &state) { run(state, item, size); })
                ->UseManualTime()
                ->Unit(benchmark::kMicrosecond)
                ->Iterations(static_cast<benchmark::IterationCount>(item.operations));
        }
    }
    benchmark::Initialize(&argumentCount, arguments);
    if (benchmark::ReportUnrecognizedArguments(argumentCount, arguments))
        return 2;
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    return 0;
}
