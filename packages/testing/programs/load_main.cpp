#include <apricothook/testing/apricothook_stand_in_json.hpp>
#include <apricothook/testing/load/apricothook_load_run.hpp>

#include <algorithm>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>

using namespace Apricothook;

namespace {

constexpr int Broken = 1;
constexpr int UsageError = 2;
constexpr int LongestSeconds = 600;
constexpr double LargestRate = 500;
constexpr std::uint32_t MostCallers = 64;
constexpr std::size_t PrintedViolations = 10;
constexpr int ProgressEverySeconds = 5;

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        throw std::system_error(errno, std::generic_category(), file);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

cxxopts::Options allFlags()
{
    cxxopts::Options options("apricothook-load", "sends a seeded mix and checks every answer");
    const auto text
        = [](const char *value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto real
        = [](const char *value) { return cxxopts::value<double>()->default_value(value); };
    const auto number
        = [](const char *value) { return cxxopts::value<int>()->default_value(value); };
    options.add_options()("mix", "file, or mulgara or pawsitters", text("mulgara"));
    options.add_options()("fleet", "fleet text; examples/MIX.json", text(""));
    options.add_options()("entry", "IP:PORT,...",
                          cxxopts::value<std::vector<std::string>>()->default_value(""));
    options.add_options()("baseline", "round-robin or least-load, straight to the targets",
                          text(""));
    options.add_options()("rate", "arrivals a second", real("10"))("seconds", "", number("20"));
    options.add_options()("drain", "seconds to wait for open requests", number("60"));
    options.add_options()("seed", "", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("callers", "who look up on their own", number("16"));
    options.add_options()("burst", "FACTOR,FROM,TO",
                          cxxopts::value<std::vector<double>>()->default_value("1,0,0"));
    options.add_options()("counts", "check the targets' counts of runs");
    options.add_options()("quiet", "JSON lines only");
    return options;
}

LoadPlan planOf(const cxxopts::ParseResult &flags)
{
    LoadPlan plan;
    plan.rate = std::clamp(flags["rate"].as<double>(), 0.1, LargestRate);
    plan.length = std::chrono::seconds(std::clamp(flags["seconds"].as<int>(), 1, LongestSeconds));
    plan.drain = std::chrono::seconds(std::clamp(flags["drain"].as<int>(), 0, LongestSeconds));
    plan.seed = flags["seed"].as<std::uint64_t>();
    const auto burst = flags["burst"].as<std::vector<double>>();
    if (burst.size() == 3) {
        plan.burstFactor = burst[0];
        plan.burstStart = std::chrono::milliseconds(static_cast<int>(burst[1] * 1000));
        plan.burstEnd = std::chrono::milliseconds(static_cast<int>(burst[2] * 1000));
    }
    return plan;
}

std::unique_ptr<LoadRouter> routerOf(const cxxopts::ParseResult &flags,
                                     const std::vector<SiteTarget> &targets)
{
    const std::string baseline = flags["baseline"].as<std::string>();
    if (!baseline.empty())
        return std::make_unique<BaselineRouter>(
            targets,
            baseline == "least-load" ? BaselinePolicy::LeastLoad : BaselinePolicy::RoundRobin);
    const auto callers = std::clamp<std::uint32_t>(flags["callers"].as<int>(), 1, MostCallers);
    return std::make_unique<EntryRouter>(flags["entry"].as<std::vector<std::string>>(), callers,
                                         flags["seed"].as<std::uint64_t>());
}

/** What all targets counted together. */
struct SiteCounts
{
    std::map<std::string, RunCount> runs;
    double prefill = 0;
    std::map<std::string, double> prefillByKey;
    double wastedPrefill = 0;
    double cachedTokens = 0;
    std::size_t unread = 0;
};

void addCounts(SiteCounts &counts, const LoadAnswer &answer)
{
    const Json::Value document = jsonOf(answer.body);
    if (!document.isObject()) {
        ++counts.unread;
        return;
    }
    counts.prefill += document["prefillTokens"].asDouble();
    counts.wastedPrefill += document["wastedPrefillTokens"].asDouble();
    counts.cachedTokens += document["cachedTokens"].asDouble();
    if (document["prefillByKey"].isObject()) {
        for (const std::string &key : document["prefillByKey"].getMemberNames())
            counts.prefillByKey[key] += document["prefillByKey"][key].asDouble();
    }
    for (const std::string &key : document["keys"].getMemberNames()) {
        const Json::Value &row = document["keys"][key];
        RunCount &count = counts.runs[key];
        count.accepted += row[0].asUInt();
        count.runs += row[1].asUInt();
        count.whole += row[2].asUInt();
        count.refused += row[3].asUInt();
    }
}

SiteCounts readCounts(LoadClient &client, const std::vector<SiteTarget> &targets)
{
    SiteCounts counts;
    std::size_t left = targets.size();
    for (const SiteTarget &target : targets) {
        LoadCall call;
        call.url = "http://" + target.address.text() + "/_counts";
        client.start(std::move(call), [&counts, &left](const LoadAnswer &answer) {
            addCounts(counts, answer);
            --left;
        });
    }
    while (left > 0)
        client.poll(std::chrono::milliseconds(10));
    return counts;
}

/**
 * Prompt tokens read for answers that no caller got whole within its patience, and those of runs
 * beyond the first one of a key. The targets' own count misses answers that were produced whole
 * after their caller had gone.
 */
double thrownAwayPrefill(const SiteCounts &counts, const LoadLedger &ledger)
{
    double thrownAway = 0;
    for (const auto &[key, tokens] : counts.prefillByKey) {
        const auto record = ledger.records().find(key);
        const bool isGood = record != ledger.records().end() && record->second.isGood();
        const auto runs = counts.runs.find(key);
        const double times = runs == counts.runs.end() ? 1 : std::max(1U, runs->second.runs);
        thrownAway += isGood ? tokens * (times - 1) / times : tokens;
    }
    return thrownAway;
}

void printCounts(const SiteCounts &counts, const LoadLedger &ledger, std::size_t violations)
{
    Json::Value line;
    line["prefillTokens"] = counts.prefill;
    line["wastedPrefillTokens"] = counts.wastedPrefill;
    line["thrownAwayPrefillTokens"] = thrownAwayPrefill(counts, ledger);
    line["cachedTokens"] = counts.cachedTokens;
    line["unreadTargets"] = Json::UInt64(counts.unread);
    line["violations"] = Json::UInt64(violations);
    std::cout << textOf(line) << '\n';
}

/** Prints the result; the number of broken promises. */
std::size_t report(LoadRun &run, const std::vector<SiteTarget> &targets, bool isChecked,
                   bool isQuiet)
{
    std::vector<Violation> violations = run.ledger().wrongAnswers();
    SiteCounts counts;
    if (isChecked) {
        counts = readCounts(run.client(), targets);
        const auto wrong = run.ledger().wrongRuns(counts.runs);
        violations.insert(violations.end(), wrong.begin(), wrong.end());
        if (counts.unread > 0)
            violations.push_back({"-", "some targets' counts couldn't be read"});
    }
    run.ledger().printJson(std::cout);
    printCounts(counts, run.ledger(), violations.size());
    if (!isQuiet)
        run.ledger().printTable(std::cout);
    for (std::size_t i = 0; i < std::min(violations.size(), PrintedViolations); ++i)
        std::cout << "BROKEN: " << violations[i].key << ": " << violations[i].what << '\n';
    return violations.size();
}

int load(const cxxopts::ParseResult &flags)
{
    const std::string name = flags["mix"].as<std::string>();
    const bool isBuiltIn = name.find('.') == std::string::npos;
    const std::string folder = APRICOTHOOK_SOURCE_DIR;
    const std::string fleetFile = flags["fleet"].as<std::string>();
    const std::string fleet
        = contentOf(fleetFile.empty() ? folder + "/examples/" + name + ".json" : fleetFile);
    const auto mix = parseMix(
        contentOf(isBuiltIn ? folder + "/packages/testing/mixes/" + name + ".json" : name), fleet);
    const bool hasWay = flags.count("entry") + flags.count("baseline") > 0;
    if (!mix || !hasWay)
        return UsageError;
    const std::vector<SiteTarget> targets = siteTargets(fleet);
    const std::unique_ptr<LoadRouter> router = routerOf(flags, targets);
    LoadRun run(*mix, planOf(flags), *router);
    const bool isQuiet = flags.count("quiet") > 0;
    run.run([isQuiet](int second, std::size_t open) {
        if (!isQuiet && second % ProgressEverySeconds == 0)
            std::cerr << "load: " << second << " s, " << open << " open\n";
    });
    if (run.ledger().records().empty()) {
        std::cerr << "apricothook-load: no entry answered the lookup\n";
        return Broken;
    }
    return report(run, targets, flags.count("counts") > 0, isQuiet) == 0 ? 0 : Broken;
}

} // namespace

int main(int count, char **arguments)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    cxxopts::Options options = allFlags();
    try {
        const int result = load(options.parse(count, arguments));
        if (result == UsageError)
            std::cerr << options.help();
        return result;
    } catch (const std::exception &failure) {
        std::cerr << "apricothook-load: " << failure.what() << '\n';
        return UsageError;
    }
}
