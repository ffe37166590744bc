#include <apricothook/cli/apricothook_text_commands.hpp>

#include <doctest/doctest.h>

#include <sstream>

using namespace Apricothook;

namespace {

const std::string Root = APRICOTHOOK_SOURCE_DIR "/";

} // namespace

TEST_CASE("Check tells whether a text is valid by its exit code")
{
    std::ostringstream out;
    std::ostringstream errors;
    const CommandStreams streams {out, errors};
    SUBCASE("a good text")
    {
        CHECK(runCheck(Root + "examples/mulgara.json", streams) == ExitCode::Good);
        CHECK(errors.str().empty());
    }
    SUBCASE("each error is a line with file, line, path and rule")
    {
        const std::string file = Root + "packages/text/tests/bad/slots-zero.json";
        CHECK(runCheck(file, streams) == ExitCode::NotValid);
        CHECK(errors.str().starts_with(file + ":14: targets[1].slots: out-of-bounds: "));
        CHECK(out.str().empty());
    }
    SUBCASE("no file, or a folder")
    {
        CHECK(runCheck(Root + "no-such-file", streams) == ExitCode::Unreadable);
        CHECK(runCheck(Root + "examples", streams) == ExitCode::Unreadable);
    }
}

TEST_CASE("Diff refuses texts that aren't valid and tells the errors of both")
{
    std::ostringstream out;
    std::ostringstream errors;
    const std::string bad = Root + "packages/text/tests/bad/";
    CHECK(runDiff(bad + "slots-zero.json", bad + "tier-zero.json", {out, errors})
          == ExitCode::NotValid);
    CHECK(errors.str().find("targets[1].slots") != std::string::npos);
    CHECK(errors.str().find("classes[0].tier") != std::string::npos);
    CHECK(out.str().empty());
}

TEST_CASE("Diff of a text with itself tells no change")
{
    std::ostringstream out;
    std::ostringstream errors;
    const std::string file = Root + "examples/pawsitters.json";
    CHECK(runDiff(file, file, {out, errors}) == ExitCode::Good);
    CHECK(out.str() == "0 changes; 0 targets to drain; 0 loads\n");
}
