#pragma once

#include <apricothook/bench/apricothook_bench_subject.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** A decision, and the sizes at which it is measured. */
struct BenchCase
{
    std::string name;
    /** What the sizes count, such as "daemons". */
    std::string unit;
    std::vector<std::size_t> sizes;
    std::size_t operations = 400;
    std::function<std::unique_ptr<BenchSubject>(std::size_t size)> make;
};

using BenchCases = std::vector<BenchCase>;

void addStewardCases(BenchCases &cases);
void addHomeCases(BenchCases &cases);
void addMemberCases(BenchCases &cases);
void addConfigurationCases(BenchCases &cases);
void addCoreCases(BenchCases &cases);
void addBeliefCases(BenchCases &cases);

} // namespace Apricothook
