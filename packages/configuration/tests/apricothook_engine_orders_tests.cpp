#include "apricothook_test_fleet.hpp"

#include <apricothook/configuration/apricothook_engine_orders.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace Apricothook;

namespace {

constexpr std::uint64_t Gigabyte = 1ULL << 30U;

/** Engines "e0", "e1", ... that serve model "m" at `version`, at 1 GB/s from the weight store. */
FleetText textWith(std::size_t engines, const std::string &version, bool checksFencing)
{
    FleetText text;
    text.policy.weightStoreBytesPerSecond = Gigabyte;
    text.roster = {{MemberId("a"), DataCentreId("dc0")}, {MemberId("b"), DataCentreId("dc0")}};
    text.models = {{ModelId("m"), {"tone"}, version, 10 * Gigabyte}};
    text.services = {{ServiceId("chat"), ServiceKind::Engine, {}}};
    for (std::size_t i = 0; i < engines; ++i) {
        Target target;
        target.id = TargetId("e" + std::to_string(i));
        target.service = ServiceId("chat");
        target.address = {"10.1.0.1", static_cast<std::uint16_t>(i + 1)};
        target.models = {ModelId("m")};
        target.checksFencing = checksFencing;
        text.targets.push_back(target);
    }
    return text;
}

std::shared_ptr<const Configuration> configurationOf(std::uint64_t generation, FleetText text)
{
    return std::make_shared<const Configuration>(
        Configuration {Generation(generation), generation * 10, std::move(text)});
}

class TestContext : public OrderContext
{
public:
    bool isMine(const TargetId &target) const override
    {
        return !mine.has_value() || mine->contains(target);
    }
    bool isInUse(const TargetId &, const ModelId &model) const override
    {
        return inUse.contains(model);
    }
    std::optional<std::set<TargetId>> mine;
    std::set<ModelId> inUse;
};

struct TestOrders
{
    explicit TestOrders(EngineOrderLimits limits = {})
        : orders(ConfigurationSurroundings {members, events, random}, limits)
    {
        for (const char *name : {"a", "b", "c", "d", "e", "f"})
            members.add(name);
    }
    std::vector<EngineOrder> tick(double seconds)
    {
        std::vector<EngineOrder> sent;
        orders.tick(at(seconds), context, outbox, sent);
        return sent;
    }
    void end(const EngineOrder &order, double seconds, int status = 200)
    {
        orders.ended({order.id, order.target, status}, at(seconds));
    }
    /** Ticks four times a second; every order is taken at once; gives what was sent and when. */
    std::vector<std::pair<double, EngineOrder>> run(double from, double to)
    {
        std::vector<std::pair<double, EngineOrder>> all;
        for (double now = from; now < to; now += 0.25) {
            for (const EngineOrder &order : tick(now)) {
                all.emplace_back(now, order);
                end(order, now);
            }
        }
        return all;
    }
    /** Answers the open questions for freshness; `lost` members stay silent. */
    void answer(std::uint64_t generation, std::size_t lost = 0)
    {
        for (std::size_t i = lost; i < outbox.size(); ++i) {
            const auto &request = std::get<DigestRequest>(outbox[i].message);
            orders.digestReplied(outbox[i].to, {request.sequence, digestOf(generation)});
        }
        outbox.clear();
    }

    TestMembers members {"a"};
    TestEvents events;
    DeterministicRandom random {1};
    TestContext context;
    Outbox outbox;
    EngineOrders orders;
};

std::vector<std::string> subjects(const std::vector<std::pair<double, EngineOrder>> &sent)
{
    std::vector<std::string> names;
    names.reserve(sent.size());
    for (const auto &[when, order] : sent)
        names.push_back(order.subject);
    return names;
}

} // namespace

TEST_SUITE_BEGIN("[configuration][orders]");

TEST_CASE("An engine is sent its role, its models and their adapters, once and in order")
{
    TestOrders test;
    test.orders.applied(configurationOf(3, textWith(1, "v1", true)), false, at(0));
    const auto sent = test.run(0, 60);
    CHECK(subjects(sent) == std::vector<std::string> {"serve", "m", "tone"});
    CHECK(sent[1].second.fencing == fencingOf(Generation(3)));
    CHECK(sent[1].second.version == "v1");
    test.orders.applied(configurationOf(4, textWith(1, "v1", true)), false, at(60));
    CHECK(test.run(60, 120).empty());
    SUBCASE("all of it again after the engine may have restarted")
    {
        test.orders.targetMayHaveRestarted(TargetId("e0"));
        CHECK(test.run(120, 180).size() == 3);
    }
    SUBCASE("all of it again after another daemon was its steward for a while")
    {
        test.context.mine.emplace();
        CHECK(test.run(120, 121).empty());
        test.context.mine.reset();
        CHECK(test.run(121, 180).size() == 3);
    }
}

TEST_CASE("A daemon that woke late sends no order to an engine that takes any")
{
    // The daemon was paused with generation 3; the fleet is at 4 and the engine has loaded v2. The
    // engine checks no fencing number: an order of generation 3 now would load v1 again.
    TestOrders test;
    test.orders.applied(configurationOf(3, textWith(1, "v1", false)), false, at(0));
    CHECK(test.tick(0).empty());
    CHECK(test.outbox.size() == 5);
    SUBCASE("a member has a higher generation")
    {
        test.orders.digestReplied(
            test.outbox[0].to,
            {std::get<DigestRequest>(test.outbox[0].message).sequence, digestOf(4)});
        test.answer(3, 1);
        CHECK(test.tick(0.1).empty());
        CHECK(test.tick(10).empty());
    }
    SUBCASE("too few answer")
    {
        test.answer(3, 3);
        CHECK(test.tick(0.1).empty());
    }
    SUBCASE("the answers are to a question of long ago")
    {
        test.answer(3);
        CHECK(test.tick(2).empty());
        CHECK(test.outbox.size() == 5);
    }
    SUBCASE("the members confirm: the order may go until two seconds after the question")
    {
        test.answer(3, 2);
        const auto sent = test.tick(1.5);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].notAfter == at(2));
    }
    SUBCASE("this side of a network partition isn't the larger one")
    {
        test.members.share = 0.5;
        test.answer(3);
        CHECK(test.tick(0.1).empty());
        CHECK(test.tick(0.2).empty());
        CHECK(test.events.count(ConfigurationEvent::OrderHeld) == 1);
    }
}

TEST_CASE("An engine that has seen a higher generation gets nothing more under the old one")
{
    TestOrders test;
    test.orders.applied(configurationOf(3, textWith(1, "v1", true)), false, at(0));
    const auto sent = test.tick(0);
    REQUIRE(sent.size() == 1);
    test.end(sent[0], 0, 409);
    CHECK(test.run(1, 300).empty());
    CHECK(test.events.count(ConfigurationEvent::OrderFenced) == 1);
    test.orders.applied(configurationOf(4, textWith(1, "v1", true)), false, at(300));
    CHECK(test.run(300, 360).size() == 3);
}

TEST_CASE("A model is unloaded only after its last request, and after its new place had its turn")
{
    // "m" moves from e0 to e1 while e0 still answers with it. Unloading at once would cut that
    // answer, and would leave no engine with "m" until e1 has loaded its weights.
    TestOrders test;
    FleetText before = textWith(2, "v1", true);
    before.targets[1].models.clear();
    FleetText after = textWith(2, "v1", true);
    after.targets[0].models.clear();
    test.orders.applied(configurationOf(3, before), false, at(0));
    test.run(0, 60);
    test.orders.applied(configurationOf(4, after), false, at(60));
    test.context.inUse = {ModelId("m")};
    const auto whileInUse = test.run(60, 100);
    for (const auto &[when, order] : whileInUse)
        CHECK(order.target == TargetId("e1"));
    test.context.inUse.clear();
    const auto unloads = test.run(100, 102);
    REQUIRE(unloads.size() == 1);
    CHECK(unloads[0].second.kind == EngineOrderKind::UnloadModel);
    SUBCASE("nor before the new place's turn is over, though no request uses it")
    {
        TestOrders idle;
        idle.orders.applied(configurationOf(3, before), false, at(0));
        idle.run(0, 60);
        idle.orders.applied(configurationOf(4, after), false, at(60));
        for (const auto &[when, order] : idle.run(60, 79.5))
            CHECK(order.target == TargetId("e1"));
        CHECK(idle.run(79.5, 81).size() == 1);
    }
}

TEST_CASE("A failing engine is tried ever more seldom, and an order without an end is sent again")
{
    TestOrders test;
    test.orders.applied(configurationOf(3, textWith(1, "v1", true)), false, at(0));
    std::size_t sent = 0;
    for (double now = 0; now < 600; now += 0.25) {
        for (const EngineOrder &order : test.tick(now)) {
            sent += order.kind == EngineOrderKind::SetRole ? 1 : 0;
            test.end(order, now, 0);
        }
    }
    CHECK(sent > 8);
    CHECK(sent < 32);
    TestOrders silent;
    silent.orders.applied(configurationOf(3, textWith(1, "v1", true)), false, at(0));
    CHECK(silent.tick(0).size() == 1);
    CHECK(silent.tick(119).empty());
    const auto next = silent.tick(120);
    REQUIRE(next.size() == 1);
    CHECK(next[0].kind == EngineOrderKind::LoadModel);
    silent.end(next[0], 120);
    const auto again = silent.tick(125);
    REQUIRE(again.size() == 1);
    CHECK(again[0].kind == EngineOrderKind::SetRole);
}

TEST_CASE("The stewards of a fleet together keep to the weight store's rate")
{
    // A new version lands for 60 engines, 10 GB each, whose stewards are ten daemons that share no
    // state. All loads at once would draw sixty times the agreed rate and be refused. A second
    // change lands in the midst: its loads must come after those still to come.
    constexpr std::size_t Engines = 60;
    std::vector<std::unique_ptr<TestOrders>> daemons;
    for (std::size_t i = 0; i < 10; ++i) {
        daemons.push_back(std::make_unique<TestOrders>());
        daemons.back()->context.mine.emplace();
    }
    for (std::size_t i = 0; i < Engines; ++i)
        daemons[i % 10]->context.mine->insert(TargetId("e" + std::to_string(i)));
    FleetText second = textWith(Engines, "v2", true);
    second.models.push_back({ModelId("n"), {}, "v1", 10 * Gigabyte});
    for (std::size_t i = 0; i < 10; ++i)
        second.targets[i].models.emplace_back("n");

    std::vector<double> loads;
    const auto run = [&](double from, double to) {
        for (auto &daemon : daemons) {
            for (const auto &[when, order] : daemon->run(from, to)) {
                if (order.kind == EngineOrderKind::LoadModel)
                    loads.push_back(when);
            }
        }
    };
    for (auto &daemon : daemons)
        daemon->orders.applied(configurationOf(3, textWith(Engines, "v1", true)), false, at(0));
    run(0, 1000);
    loads.clear();
    for (auto &daemon : daemons)
        daemon->orders.applied(configurationOf(4, textWith(Engines, "v2", true)), false, at(1000));
    run(1000, 1300);
    for (auto &daemon : daemons)
        daemon->orders.applied(configurationOf(5, second), false, at(1300));
    run(1300, 1800);

    CHECK(loads.size() == 70);
    std::sort(loads.begin(), loads.end());
    std::size_t most = 0;
    for (const double start : loads) {
        most = std::max(most,
                        static_cast<std::size_t>(
                            std::count_if(loads.begin(), loads.end(), [start](double other) {
                                return other >= start && other < start + 10;
                            })));
    }
    MESSAGE("loads begun in any 10 s, the time of one load: at most " << most << "; last at "
                                                                      << loads.back() - 1000);
    CHECK(most == 1);
    CHECK(loads.back() < 1000 + 710);
}

TEST_SUITE_END();
