#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_settings_parser.hpp>
#include <apricothook/text/apricothook_text_limits.hpp>

#include "apricothook_test_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

using namespace Apricothook;

namespace {

constexpr std::size_t LeastBadTexts = 45;
const std::string Folder = "packages/text/tests/bad/";

std::vector<std::string> badTextNames()
{
    std::vector<std::string> names;
    for (const auto &file :
         std::filesystem::directory_iterator(APRICOTHOOK_SOURCE_DIR "/" + Folder))
        names.push_back(file.path().filename());
    std::sort(names.begin(), names.end());
    return names;
}

/** Settings are told apart by the file's name. */
std::vector<TextError> errorsOf(const std::string &name, const std::string &text)
{
    if (name.starts_with("settings-")) {
        const auto settings = parseSettings(text);
        return settings ? std::vector<TextError>() : settings.error();
    }
    const auto fleet = parseFleetText(text);
    return fleet ? std::vector<TextError>() : fleet.error();
}

/** The first lines of a bad text: "// expect LINE RULE PATH", one for each error. */
std::vector<std::string> expectedErrors(const std::string &text)
{
    constexpr std::string_view Mark = "// expect ";
    std::vector<std::string> expected;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line) && line.starts_with(Mark);)
        expected.push_back(line.substr(Mark.size()));
    return expected;
}

std::vector<std::string> foundErrors(const std::vector<TextError> &errors)
{
    std::vector<std::string> found;
    found.reserve(errors.size());
    for (const TextError &error : errors)
        found.push_back(std::to_string(error.line) + " " + std::string(nameOf(error.rule)) + " "
                        + error.path);
    return found;
}

} // namespace

TEST_CASE("Each bad text is refused with just the errors that it has, each at its line and path")
{
    const std::vector<std::string> names = badTextNames();
    CHECK(names.size() >= LeastBadTexts);
    for (const std::string &name : names) {
        CAPTURE(name);
        const std::string text = readTestFile(Folder + name);
        std::vector<std::string> expected = expectedErrors(text);
        const std::vector<TextError> errors = errorsOf(name, text);
        std::vector<std::string> found = foundErrors(errors);
        CAPTURE(toldErrors(errors));
        REQUIRE_FALSE(expected.empty());
        std::sort(expected.begin(), expected.end());
        std::sort(found.begin(), found.end());
        CHECK(found == expected);
    }
}

TEST_CASE("A text that is too large is refused unread")
{
    const std::string good = readTestFile("examples/mulgara.json");
    const std::string fits = good + std::string(MaximumTextBytes - good.size(), ' ');
    CHECK(parseFleetText(fits).has_value());
    const auto refused = parseFleetText(fits + " ");
    REQUIRE(refused.has_error());
    CHECK(refused.error().front().rule == TextRule::TooLarge);
}

TEST_CASE("A hostile text can't make the reader tell errors without end")
{
    // The platform hands a text of a megabyte in which every entry is wrong to all daemons at
    // once. Without a bound each error costs some hundred bytes: 200,000 of them would take
    // several times the memory that a daemon has for control.
    std::string text = "{\"classes\": [0";
    for (int entry = 0; entry < 200000; ++entry)
        text += ",0";
    const auto refused = parseFleetText(text + "]}");
    REQUIRE(refused.has_error());
    CHECK(refused.error().size() == MaximumTextErrors + 1);
    CHECK(std::any_of(refused.error().begin(), refused.error().end(), [](const TextError &error) {
        return error.rule == TextRule::TooManyErrors;
    }));
}

TEST_CASE("Lines are counted by line feeds, as editors do")
{
    // Found by the fuzz test: a stray carriage return in a name made the reader tell a missing
    // comma one line too far down, past the end of a short file.
    for (const char *end : {"\n", "\r\n"}) {
        const std::string text
            = std::string("{\"a\rb\": 1,") + end + "\"c\": 2" + end + "\"d\": 3}";
        const auto refused = parseFleetText(text);
        REQUIRE(refused.has_error());
        CHECK(refused.error().front().rule == TextRule::Syntax);
        CHECK(refused.error().front().line == 3);
    }
}

TEST_CASE("Details show nothing that could steer a terminal")
{
    const auto refused = parseFleetText("{\"\\u001b[2Jx\": 1}");
    REQUIRE(refused.has_error());
    const std::string told = toldErrors(refused.error());
    CHECK(told.find('\x1b') == std::string::npos);
    CHECK(told.find("?[2Jx: unknown-key") != std::string::npos);
}
