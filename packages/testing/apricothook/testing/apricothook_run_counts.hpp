#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace Apricothook {

/** What became of one idempotency key at one target. */
struct RunCount
{
    std::uint32_t accepted = 0; ///< Calls that the target took in.
    std::uint32_t runs = 0;     ///< Times that work on it began.
    std::uint32_t whole = 0;    ///< Times that its answer was produced whole.
    std::uint32_t refused = 0;  ///< Refusals that said "not run".
    auto operator<=>(const RunCount &) const = default;
};

/** Runs counted by idempotency key; the evidence for "at most once". */
class RunCounts
{
public:
    RunCount &of(const std::string &key) { return m_counts[key]; }
    RunCount sum() const;
    /** {"accepted":n,...,"keys":{"KEY":[accepted, runs, whole, refused]}} */
    Json::Value toJson() const;

private:
    std::map<std::string, RunCount> m_counts;
};

} // namespace Apricothook
