#include <apricothook/serving/apricothook_lookup_policy.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** Items named "c" hold a generation, items named "t/ID" a state. */
class TestDecoder : public ItemDecoder
{
public:
    ItemKind kindOf(std::string_view key) const override
    {
        if (key == "c")
            return ItemKind::Configuration;
        return key.starts_with("t/") ? ItemKind::Target : ItemKind::Other;
    }
    Result<ServingConfiguration, ItemFault> configuration(std::string_view value) const override
    {
        if (value == "bad")
            return ItemFault {"field"};
        ServingConfiguration configuration;
        configuration.generation = Generation(std::stoul(std::string(value)));
        return configuration;
    }
    TargetId targetOfKey(std::string_view key) const override
    {
        return TargetId(std::string(key.substr(2)));
    }
    Result<TargetEntry, ItemFault> target(std::string_view key,
                                          std::string_view value) const override
    {
        if (value == "bad")
            return ItemFault {"field"};
        TargetEntry entry;
        entry.id = targetOfKey(key);
        entry.service = ServiceId("s");
        entry.address = {"127.0.0.1", 1};
        entry.isDraining = value == "draining";
        return entry;
    }
};

/** The test looks at the gateway's state; no caller or target is connected. */
class NoWire : public WireDialect
{
public:
    Result<RequestFields, RequestFieldsError> callerRequest(const RequestHead &) const override
    {
        return RequestFieldsError::NoId;
    }
    RequestHead targetRequest(const RequestHead &head, const TargetRequestFields &) const override
    {
        return head;
    }
    TargetVerdict verdict(const ResponseHead &) const override { return {}; }
    ResponseHead callerAnswer(const ResponseHead &head) const override { return head; }
    ResponseHead ownAnswer(unsigned, const RequestKey &, std::optional<Duration>) const override
    {
        return {};
    }
};

class NoLog : public LogWriter
{
public:
    void write(const LogEvent &) override { }
};

class NoRandom : public RandomSource
{
public:
    std::uint64_t next() override { return 0; }
};

struct Bench
{
    HandClock clock;
    EventLoop loop {clock};
    NoWire wire;
    NoRandom random;
    NoLog log;
    Metrics metrics;
    TestDecoder decoder;
    Gateway gateway {loop, wire, random, log, metrics, FleetBounds(), DataCentreId("d")};
    PublishedState state {loop, gateway, decoder, log};
    Revision revision = 0;

    void write(const std::string &key, const std::optional<std::string> &value)
    {
        ++revision;
        state.apply({{{key, value, revision}}, false, revision});
    }
    bool has(const std::string &target)
    {
        return gateway.targets().find(TargetId(target)) != nullptr;
    }
    void pass(std::chrono::milliseconds time)
    {
        clock.advance(time);
        loop.runOnce(std::chrono::milliseconds(0));
    }
};

} // namespace

TEST_CASE("a removed target gets nothing more at once")
{
    Bench bench;
    bench.write("t/a", "ready");
    CHECK(bench.has("a"));
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("targets whose entries lapse while the source is away are kept until they could return")
{
    // Callers are served on. All entries lapse during an outage; the targets live and register
    // again within two seconds of its end. One that doesn't is gone.
    Bench bench;
    bench.write("t/a", "ready");
    bench.write("t/b", "ready");
    bench.state.setSourceState(SourceState::Reachable);
    bench.state.setSourceState(SourceState::Unreachable);
    bench.pass(std::chrono::seconds(5));
    bench.state.setSourceState(SourceState::Reachable);
    bench.write("t/a", std::nullopt);
    bench.write("t/b", std::nullopt);
    CHECK(bench.has("a"));
    CHECK(bench.has("b"));
    bench.pass(std::chrono::milliseconds(1900));
    bench.write("t/a", "ready");
    bench.pass(std::chrono::milliseconds(700));
    CHECK(bench.has("a"));
    CHECK_FALSE(bench.has("b"));
}

TEST_CASE("a target that had announced its leaving is gone even after an outage")
{
    Bench bench;
    bench.write("t/a", "ready");
    bench.state.setSourceState(SourceState::Unreachable);
    bench.write("t/a", "draining");
    bench.state.setSourceState(SourceState::Reachable);
    bench.write("t/a", std::nullopt);
    CHECK_FALSE(bench.has("a"));
}

TEST_CASE("a configuration never goes back, and a bad one changes nothing")
{
    Bench bench;
    CHECK_FALSE(bench.state.hasConfiguration());
    bench.write("c", "bad");
    CHECK_FALSE(bench.state.hasConfiguration());
    bench.write("c", "7");
    CHECK(bench.state.hasConfiguration());
    bench.write("c", "3");
    bench.write("c", "bad");
    bench.write("t/a", "bad");
    CHECK_FALSE(bench.has("a"));
    CHECK(bench.state.replica().revision() == 5);
}

TEST_CASE("callers are sent to ready entries near them")
{
    const std::map<DataCentreId, RegionId> regions {{DataCentreId("a"), RegionId("r")},
                                                    {DataCentreId("b"), RegionId("r")},
                                                    {DataCentreId("c"), RegionId("q")}};
    const auto entry = [](std::uint16_t port, const std::string &dataCentre) {
        return LookupEntry {{"10.0.0.1", port}, DataCentreId(dataCentre)};
    };
    const LookupQuestion question {RegionId("r"), DataCentreId("a")};
    using Ports = std::vector<Endpoint>;
    CHECK(nearEntries({entry(1, "a"), entry(2, "a"), entry(3, "b")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 2}});
    CHECK(nearEntries({entry(1, "a"), entry(3, "b"), entry(4, "c")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 3}});
    CHECK(nearEntries({entry(1, "a"), entry(4, "c")}, regions, question)
          == Ports {{"10.0.0.1", 1}, {"10.0.0.1", 4}});
    CHECK(nearEntries({}, regions, question).empty());
}
