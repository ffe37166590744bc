#pragma once

#include <apricothook/testing/apricothook_run_counts.hpp>
#include <apricothook/testing/load/apricothook_load_mix.hpp>

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace Apricothook {

/** How one attempt of a request ended, as its caller sees it. */
enum class AttemptEnd {
    Whole,
    WrongBytes, ///< An answer that isn't the one of this request.
    Broken,     ///< The connection closed early; what came was right as far as it went.
    Refused,
    Abandoned, ///< The caller went away.
    TimedOut,  ///< The caller stopped waiting, some time after its patience.
};

/** One attempt with its times since it was sent. */
struct Attempt
{
    AttemptEnd end = AttemptEnd::Broken;
    int status = 0;
    std::string reason;
    /** "not-run", "unknown" or "" where there was no refusal. */
    std::string outcome;
    /** The beginning of an answer that is wrong. */
    std::string wrongBeginning;
    Duration firstByte {};
    Duration whole {};
    std::vector<Duration> betweenTokens;
    bool isResend = false;
    bool isConflict = false;
};

/** All attempts of one key. */
struct LoadRecord
{
    const LoadKind *kind = nullptr;
    Duration patience {};
    std::vector<Attempt> attempts;

    /** Whether an attempt, resends included, brought the whole answer within the patience. */
    bool isGood() const;
    /** Whether every attempt was refused as not run. */
    bool isProvenNotRun() const;
    bool hasEnd(AttemptEnd end) const;
};

/** A promise that the counts of the targets show broken. */
struct Violation
{
    std::string key;
    std::string what;
};

/** Collects what became of each key, prints it by tier, and checks it against the counts. */
class LoadLedger
{
public:
    void open(const std::string &key, const LoadRequest &request);
    void add(const std::string &key, Attempt attempt);
    const std::map<std::string, LoadRecord> &records() const { return m_records; }

    /** Checks that can be made without the targets' counts: bytes and conflicts. */
    std::vector<Violation> wrongAnswers() const;
    /** At most one run for each key, none where "not run" was said, one where it was answered. */
    std::vector<Violation> wrongRuns(const std::map<std::string, RunCount> &runs) const;

    void printJson(std::ostream &out) const;
    void printTable(std::ostream &out) const;

private:
    std::map<std::string, LoadRecord> m_records;
};

} // namespace Apricothook
