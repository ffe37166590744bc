#include <apricothook/testing/apricothook_run_counts.hpp>

namespace Apricothook {

RunCount RunCounts::sum() const
{
    RunCount sum;
    for (const auto &[key, count] : m_counts) {
        sum.accepted += count.accepted;
        sum.runs += count.runs;
        sum.whole += count.whole;
        sum.refused += count.refused;
    }
    return sum;
}

Json::Value RunCounts::toJson() const
{
    const RunCount total = sum();
    Json::Value document;
    document["accepted"] = total.accepted;
    document["runs"] = total.runs;
    document["whole"] = total.whole;
    document["refused"] = total.refused;
    document["keys"] = Json::Value(Json::objectValue);
    for (const auto &[key, count] : m_counts) {
        Json::Value &row = document["keys"][key];
        row.append(count.accepted);
        row.append(count.runs);
        row.append(count.whole);
        row.append(count.refused);
    }
    return document;
}

} // namespace Apricothook
