#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_settings_parser.hpp>
#include <apricothook/text/apricothook_text_difference.hpp>

#include "apricothook_test_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace Apricothook;

namespace {

constexpr std::size_t DefaultInputs = 20000;
constexpr std::uint64_t DefaultSeed = 20261202;
constexpr std::size_t MostMutations = 4;

constexpr std::string_view Pieces[] = {
    "0",
    "-1",
    "-",
    "1e308",
    "1e-400",
    "18446744073709551616",
    "4294967296",
    "0.5",
    "null",
    "true",
    "false",
    "[]",
    "{}",
    "\"\"",
    "\"t1\"",
    "\"dc1\"",
    "[",
    "]",
    "{",
    "}",
    ",",
    ":",
    "//",
    "/*",
    "*/",
    "\n",
    "\\u0000",
    "\\ud800",
    "\"",
    "\x80\xff",
    "\"10.0.0.1:80\"",
    "\"like\": \"t1\",",
    "\"dependsOn\": [\"site\"],",
    "\"chat\"",
    "\"north\"",
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

std::vector<std::string> textsIn(const std::string &folder)
{
    std::vector<std::string> texts;
    for (const auto &file :
         std::filesystem::directory_iterator(APRICOTHOOK_SOURCE_DIR "/" + folder))
        texts.push_back(readTestFile(folder + "/" + file.path().filename().string()));
    std::sort(texts.begin(), texts.end());
    return texts;
}

/** Half of the inputs come from good small texts, so that mutants are accepted as well. */
struct Seeds
{
    std::vector<std::string> good = textsIn("packages/text/tests/good");
    std::vector<std::string> bad = textsIn("packages/text/tests/bad");
    std::vector<std::string> examples = textsIn("examples");
};

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed) : m_random(seed) { }

    std::string next()
    {
        std::string text = pick();
        const std::size_t mutations = 1 + below(2) * below(MostMutations);
        for (std::size_t count = 0; count < mutations && !text.empty(); ++count)
            mutate(text);
        return text;
    }

private:
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    const std::string &pick()
    {
        const std::size_t lot = below(10);
        const std::vector<std::string> &texts
            = lot < 5 ? m_seeds.good : (lot < 9 ? m_seeds.bad : m_seeds.examples);
        return texts[below(texts.size())];
    }

    void mutate(std::string &text)
    {
        const std::size_t place = below(text.size());
        const std::string_view piece = Pieces[below(std::size(Pieces))];
        switch (below(8)) {
        case 0:
            text[place] = static_cast<char>(m_random());
            break;
        case 1:
            text.insert(place, piece);
            break;
        case 2:
            text.erase(place, 1 + below(40));
            break;
        case 3:
            text.insert(place, text.substr(below(text.size()), below(200)));
            break;
        case 4:
        case 5:
            replaceDigit(text, place);
            break;
        default:
            replaceWord(text, place, piece);
            break;
        }
    }

    void replaceDigit(std::string &text, std::size_t place)
    {
        const std::size_t digit = text.find_first_of("0123456789", place);
        if (digit != std::string::npos)
            text[digit] = static_cast<char>('0' + below(10));
    }

    static void replaceWord(std::string &text, std::size_t place, std::string_view piece)
    {
        constexpr std::string_view Ends = " ,:[]{}\n";
        const std::size_t start = text.find_last_of(Ends, place) + 1;
        const std::size_t end = std::min(text.find_first_of(Ends, place), text.size());
        text.replace(start, end - std::min(start, end), piece);
    }

    Seeds m_seeds;
    std::mt19937_64 m_random;
};

template <typename Entry>
std::set<std::string> namesOf(const std::vector<Entry> &entries)
{
    std::set<std::string> names;
    for (const Entry &entry : entries)
        names.insert(entry.id.text());
    return names;
}

bool isSound(const Target &target, const FleetText &text)
{
    const auto service
        = std::find_if(text.services.begin(), text.services.end(),
                       [&](const Service &other) { return other.id == target.service; });
    if (service == text.services.end() || target.slots == 0 || target.address.port == 0)
        return false;
    const bool hasSpeed = std::isfinite(target.prefillRate) && target.prefillRate > 0
        && std::isfinite(target.decodeRate) && target.decodeRate > 0;
    const std::set<std::string> models = namesOf(text.models);
    const bool knowsModels
        = std::all_of(target.models.begin(), target.models.end(),
                      [&](const ModelId &model) { return models.contains(model.text()); });
    if (service->kind == ServiceKind::Engine)
        return hasSpeed && knowsModels && !target.models.empty() && target.kvTokens > 0;
    return target.models.empty() && target.kvTokens == 0 && target.prefillRate == 0;
}

/** What the daemons rely on without looking again. */
bool isSound(const FleetText &text)
{
    const bool hasUniqueNames = namesOf(text.targets).size() == text.targets.size()
        && namesOf(text.customers).size() == text.customers.size()
        && namesOf(text.roster).size() == text.roster.size()
        && namesOf(text.classes).size() == text.classes.size();
    std::set<Endpoint> addresses;
    for (const Target &target : text.targets)
        addresses.insert(target.address);
    return hasUniqueNames && addresses.size() == text.targets.size() && !text.roster.empty()
        && !text.classes.empty()
        && std::all_of(text.targets.begin(), text.targets.end(),
                       [&](const Target &target) { return isSound(target, text); })
        && std::all_of(text.classes.begin(), text.classes.end(), [&](const RequestClass &one) {
               return one.patience > Duration::zero()
                   && one.patience <= text.policy.deduplicationWindow && one.tier.rank() >= 1
                   && one.tier.rank() <= LowestTierRank;
           });
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= ' ' && character <= '~'; });
}

bool areSound(const std::vector<TextError> &errors, const std::string &text)
{
    const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    return !errors.empty()
        && std::all_of(errors.begin(), errors.end(), [&](const TextError &error) {
               return error.line >= 1 && error.line <= lines && !error.path.empty()
                   && isPrintable(error.path) && isPrintable(error.detail);
           });
}

} // namespace

TEST_CASE("No mutated text crashes the parsers or gets through with a broken promise")
{
    // A release tool cuts a text off, doubles a part or writes a wrong number, and the platform
    // hands that to all daemons at the same moment. A crash would end the whole fleet at once; a
    // text accepted with a dangling reference would end it later, when a request meets it.
    const std::uint64_t inputs = numberFromEnvironment("APRICOTHOOK_FUZZ_INPUTS", DefaultInputs);
    const std::uint64_t seed = numberFromEnvironment("APRICOTHOOK_FUZZ_SEED", DefaultSeed);
    Mutator mutator(seed);
    const FleetText base = parseFleetText(readTestFile("examples/mulgara.json")).value();
    std::uint64_t accepted = 0;
    std::uint64_t acceptedSettings = 0;
    for (std::uint64_t input = 0; input < inputs; ++input) {
        const std::string text = mutator.next();
        CAPTURE(input);
        CAPTURE(text);
        const auto fleet = parseFleetText(text);
        const auto settings = parseSettings(text);
        accepted += fleet.has_value() ? 1U : 0U;
        acceptedSettings += settings.has_value() ? 1U : 0U;
        if (fleet) {
            REQUIRE(isSound(fleet.value()));
            REQUIRE(differenceOf(fleet.value(), fleet.value()).empty());
            for (const TextChange &change : differenceOf(base, fleet.value()))
                REQUIRE(isPrintable(describe(change)));
        } else {
            REQUIRE(areSound(fleet.error(), text));
        }
        REQUIRE((settings.has_value() || areSound(settings.error(), text)));
    }
    MESSAGE(inputs << " inputs, " << accepted << " texts and " << acceptedSettings
                   << " settings accepted");
    CHECK(accepted > 0);
    CHECK(acceptedSettings > 0);
    CHECK(accepted + acceptedSettings < inputs);
}
