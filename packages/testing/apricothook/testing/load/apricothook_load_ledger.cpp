#include <apricothook/testing/load/apricothook_load_ledger.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace Apricothook {

namespace {

/** The sums of one tier. */
struct TierSums
{
    std::uint32_t sent = 0;
    std::uint32_t good = 0;
    std::uint32_t late = 0;
    std::uint32_t abandoned = 0;
    std::uint32_t broken = 0;
    std::uint32_t wrong = 0;
    std::uint32_t resends = 0;
    std::uint32_t unfinished = 0;
    std::map<std::string, std::uint32_t> refusals;
    std::vector<Duration> firstBytes;
    std::vector<Duration> betweenTokens;
};

double millisecondsAt(std::vector<Duration> &durations, double quantile)
{
    if (durations.empty())
        return 0;
    const auto at = static_cast<std::size_t>(quantile * double(durations.size() - 1));
    std::nth_element(durations.begin(), durations.begin() + static_cast<std::ptrdiff_t>(at),
                     durations.end());
    return std::chrono::duration<double, std::milli>(durations[at]).count();
}

void addRecord(TierSums &sums, const LoadRecord &record)
{
    ++sums.sent;
    sums.wrong += record.hasEnd(AttemptEnd::WrongBytes) ? 1 : 0;
    for (const Attempt &attempt : record.attempts) {
        sums.resends += attempt.isResend ? 1 : 0;
        if (attempt.end != AttemptEnd::Whole || attempt.isConflict)
            continue;
        sums.firstBytes.push_back(attempt.firstByte);
        sums.betweenTokens.insert(sums.betweenTokens.end(), attempt.betweenTokens.begin(),
                                  attempt.betweenTokens.end());
    }
    if (record.attempts.empty()) {
        ++sums.unfinished;
    } else if (record.isGood()) {
        ++sums.good;
    } else if (record.hasEnd(AttemptEnd::Whole) || record.hasEnd(AttemptEnd::TimedOut)) {
        ++sums.late;
    } else if (record.hasEnd(AttemptEnd::Abandoned)) {
        ++sums.abandoned;
    } else if (record.hasEnd(AttemptEnd::Refused)) {
        const auto refused
            = std::find_if(record.attempts.begin(), record.attempts.end(),
                           [](const Attempt &a) { return a.end == AttemptEnd::Refused; });
        ++sums.refusals[refused->reason + "/" + refused->outcome];
    } else {
        ++sums.broken;
    }
}

std::map<int, TierSums> sumsByTier(const std::map<std::string, LoadRecord> &records)
{
    std::map<int, TierSums> tiers;
    for (const auto &[key, record] : records)
        addRecord(tiers[record.kind->tier], record);
    return tiers;
}

} // namespace

bool LoadRecord::isGood() const
{
    return std::any_of(attempts.begin(), attempts.end(), [this](const Attempt &attempt) {
        return attempt.end == AttemptEnd::Whole && !attempt.isConflict && attempt.whole <= patience;
    });
}

bool LoadRecord::isProvenNotRun() const
{
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt &attempt) { return attempt.outcome == "not-run"; });
}

bool LoadRecord::hasEnd(AttemptEnd end) const
{
    return std::any_of(attempts.begin(), attempts.end(), [end](const Attempt &attempt) {
        return attempt.end == end && !attempt.isConflict;
    });
}

void LoadLedger::open(const std::string &key, const LoadRequest &request)
{
    LoadRecord &record = m_records[key];
    record.kind = request.kind;
    record.patience = request.patience();
}

void LoadLedger::add(const std::string &key, Attempt attempt)
{
    m_records[key].attempts.push_back(std::move(attempt));
}

std::vector<Violation> LoadLedger::wrongAnswers() const
{
    std::vector<Violation> violations;
    for (const auto &[key, record] : m_records) {
        for (const Attempt &attempt : record.attempts) {
            if (attempt.end == AttemptEnd::WrongBytes)
                violations.push_back(
                    {key,
                     "wrong bytes in an answer"
                         + std::string(attempt.isConflict ? " to another body" : "") + ", status "
                         + std::to_string(attempt.status) + ": " + attempt.wrongBeginning});
        }
    }
    return violations;
}

std::vector<Violation> LoadLedger::wrongRuns(const std::map<std::string, RunCount> &runs) const
{
    std::vector<Violation> violations;
    for (const auto &[key, record] : m_records) {
        const auto found = runs.find(key);
        const RunCount count = found == runs.end() ? RunCount() : found->second;
        if (count.accepted > 1 || count.runs > 1)
            violations.push_back({key,
                                  "dispatched " + std::to_string(count.accepted) + " times, run "
                                      + std::to_string(count.runs) + " times"});
        if (!record.attempts.empty() && record.isProvenNotRun() && count.runs > 0)
            violations.push_back({key, "refused as not run, but it ran"});
        if (record.hasEnd(AttemptEnd::Whole) && count.runs == 0)
            violations.push_back({key, "answered, but no target counted a run of it"});
    }
    return violations;
}

void LoadLedger::printJson(std::ostream &out) const
{
    for (auto &[tier, sums] : sumsByTier(m_records)) {
        TierSums sorted = sums;
        Json::Value line;
        line["tier"] = tier;
        line["sent"] = sums.sent;
        line["goodput"] = sums.good;
        line["late"] = sums.late;
        line["abandoned"] = sums.abandoned;
        line["broken"] = sums.broken;
        line["wrongBytes"] = sums.wrong;
        line["resends"] = sums.resends;
        line["unfinished"] = sums.unfinished;
        line["refused"] = Json::Value(Json::objectValue);
        for (const auto &[reason, count] : sums.refusals)
            line["refused"][reason] = count;
        line["firstByteP50Ms"] = millisecondsAt(sorted.firstBytes, 0.5);
        line["firstByteP95Ms"] = millisecondsAt(sorted.firstBytes, 0.95);
        line["betweenTokensP95Ms"] = millisecondsAt(sorted.betweenTokens, 0.95);
        out << textOf(line) << '\n';
    }
}

void LoadLedger::printTable(std::ostream &out) const
{
    out << "tier   sent  whole in patience   late  gone  broken  wrong  refused"
        << "  first byte p50/p95 ms  between tokens p95 ms\n";
    out << std::fixed << std::setprecision(0);
    for (auto &[tier, sums] : sumsByTier(m_records)) {
        TierSums sorted = sums;
        std::uint32_t refused = 0;
        for (const auto &[reason, count] : sums.refusals)
            refused += count;
        out << std::setw(4) << tier << std::setw(7) << sums.sent << std::setw(11) << sums.good
            << std::setw(6) << 100.0 * sums.good / std::max(1U, sums.sent) << " %" << std::setw(7)
            << sums.late << std::setw(6) << sums.abandoned << std::setw(8) << sums.broken
            << std::setw(7) << sums.wrong << std::setw(9) << refused << std::setw(15)
            << millisecondsAt(sorted.firstBytes, 0.5) << " /" << std::setw(6)
            << millisecondsAt(sorted.firstBytes, 0.95) << std::setw(23)
            << millisecondsAt(sorted.betweenTokens, 0.95) << '\n';
        if (sums.unfinished > 0)
            out << "       unfinished when the run ended: " << sums.unfinished << '\n';
        for (const auto &[reason, count] : sums.refusals)
            out << "       refused: " << reason << ' ' << count << '\n';
    }
}

} // namespace Apricothook
