#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_settings_parser.hpp>

#include "apricothook_test_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

FleetText exampleText(const std::string &name)
{
    const auto text = parseFleetText(readTestFile("examples/" + name));
    if (!text)
        FAIL(toldErrors(text.error()));
    return text.value();
}

std::size_t engineTargetsOf(const FleetText &text)
{
    return static_cast<std::size_t>(
        std::count_if(text.targets.begin(), text.targets.end(),
                      [](const Target &target) { return target.kvTokens > 0; }));
}

} // namespace

TEST_CASE("The example texts have the sizes of today")
{
    SUBCASE("Mulgara")
    {
        const FleetText text = exampleText("mulgara.json");
        CHECK(text.dataCentres.size() == 3);
        CHECK(text.roster.size() == 8);
        CHECK(engineTargetsOf(text) == 9);
        CHECK(text.targets.size() == 12);
        CHECK(text.customers.size() == 5);
    }
    SUBCASE("Lin Pawsitters")
    {
        const FleetText text = exampleText("pawsitters.json");
        CHECK(text.dataCentres.size() == 3);
        CHECK(text.roster.size() == 9);
        CHECK(engineTargetsOf(text) == 12);
        CHECK(text.targets.size() == 15);
        CHECK(text.customers.size() == 5);
    }
}

TEST_CASE("A target takes over what it doesn't write from the target that it is like")
{
    const FleetText text = exampleText("mulgara.json");
    const Target &first = text.targets[0];
    const Target &second = text.targets[1];
    CHECK(second.id == TargetId("analyst-2"));
    CHECK(second.address == Endpoint {"127.0.0.1", 21002});
    CHECK(second.vm == VmId("runner-2"));
    CHECK(second.dataCentre == DataCentreId("bne-2"));
    CHECK(second.models == first.models);
    CHECK(second.slots == 16);
    CHECK(second.checksFencing);
    CHECK(text.targets[4].decodeRate == 40);
    CHECK(text.targets[4].prefillRate == text.targets[2].prefillRate);
}

TEST_CASE("The example settings are good")
{
    const auto settings = parseSettings(readTestFile("examples/daemon-settings.json"));
    if (!settings)
        FAIL(toldErrors(settings.error()));
    CHECK(settings.value().id == MemberId("entry-1"));
    CHECK(settings.value().seeds.size() == 3);
    CHECK(settings.value().peerAddress == Endpoint {"127.0.0.1", 20201});
    CHECK(settings.value().peerListenAddress == settings.value().peerAddress);
}

TEST_CASE("A daemon may listen elsewhere than where others send, but not where callers connect")
{
    std::string text = readTestFile("examples/daemon-settings.json");
    const auto withListen = [&text](const std::string &address) {
        std::string changed = text;
        changed.insert(changed.rfind('}'), ", \"peerListenAddress\": \"" + address + "\"");
        return parseSettings(changed);
    };
    const auto translated = withListen("0.0.0.0:9000");
    REQUIRE(translated);
    CHECK(translated.value().peerListenAddress == Endpoint {"0.0.0.0", 9000});
    const auto same = withListen("127.0.0.1:20101");
    REQUIRE_FALSE(same);
    CHECK(same.error().front().rule == TextRule::DuplicateEndpoint);
}
