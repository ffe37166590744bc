#pragma once

#include <apricothook/serving/apricothook_published_state.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <optional>
#include <string>

namespace Apricothook {

/**
 * Decodes items in a format for tests. Item "c" holds a generation; items "t/ID" hold a state,
 * optionally followed by "@" and a start time, and by "#" and a sequence number; items
 * "e/DATACENTRE" evacuate the data centre.
 */
class TestDecoder : public ItemDecoder
{
public:
    ItemKind kindOf(std::string_view key) const override
    {
        if (key == "c")
            return ItemKind::Configuration;
        if (key.starts_with("e/"))
            return ItemKind::Evacuation;
        return key.starts_with("t/") ? ItemKind::Target : ItemKind::Other;
    }
    Result<ServingConfiguration, ItemError> configuration(std::string_view value) const override
    {
        if (value == "bad")
            return ItemError {"field"};
        ServingConfiguration configuration;
        configuration.generation = Generation(std::stoul(std::string(value)));
        return configuration;
    }
    TargetId targetOfKey(std::string_view key) const override
    {
        return TargetId(std::string(key.substr(2)));
    }
    DataCentreId dataCentreOfKey(std::string_view key) const override
    {
        return DataCentreId(std::string(key.substr(2)));
    }
    Result<TargetEntry, ItemError> target(std::string_view key,
                                          std::string_view value) const override
    {
        if (value == "bad")
            return ItemError {"field"};
        TargetEntry entry;
        entry.id = targetOfKey(key);
        entry.service = ServiceId("s");
        entry.address = {"127.0.0.1", 1};
        entry.dataCentre = DataCentreId("d");
        entry.isDraining = value.starts_with("draining");
        if (const std::size_t at = value.find('@'); at != std::string_view::npos)
            entry.startedAt = std::stoul(std::string(value.substr(at + 1)));
        if (const std::size_t at = value.find('#'); at != std::string_view::npos)
            entry.sequence = std::stoul(std::string(value.substr(at + 1)));
        return entry;
    }
};

/** Stub for tests that connect no caller or target. */
class StubWireProtocol : public WireProtocol
{
public:
    Result<RequestFields, RequestFieldsError> callerRequest(const RequestHead &) const override
    {
        return RequestFieldsError::MissingId;
    }
    RequestHead targetRequest(const RequestHead &head, const TargetRequestFields &) const override
    {
        return head;
    }
    TargetResponseFields targetResponse(const ResponseHead &) const override { return {}; }
    ResponseHead callerResponse(const ResponseHead &head) const override { return head; }
    ResponseHead localResponse(unsigned, const RequestKey &, std::optional<Duration>) const override
    {
        return {};
    }
};

class NullLog : public LogWriter
{
public:
    void write(const LogEvent &) override { }
};

class ZeroRandom : public RandomSource
{
public:
    std::uint64_t next() override { return 0; }
};

/** PublishedState with a gateway that has no connections. */
struct PublishedStateFixture
{
    ManualClock clock;
    EventLoop loop {clock};
    StubWireProtocol wire;
    ZeroRandom random;
    NullLog log;
    Metrics metrics;
    TestDecoder decoder;
    Gateway gateway {loop, wire, random, log, metrics, FleetBounds(), DataCentreId("d")};
    PublishedState state {loop, gateway, decoder, log};
    Revision revision = 0;

    void publish(const std::string &key, const std::optional<std::string> &value)
    {
        ++revision;
        state.apply({{{key, value, revision}}, false, revision});
    }
    /** Sets the state of the source as the only reader. */
    void setSourceState(SourceState source)
    {
        state.setSourceState(source);
        state.recordSourceReachability({state.reachesSource(), state.hasLostSource()});
    }
    /** True if the target is known and not draining. */
    bool isReady(const std::string &target)
    {
        const TrackedTarget *known = gateway.targets().find(TargetId(target));
        return known && !known->entry.isDraining;
    }
    /** Start of the target's instance that is in force; zero if there is none. */
    std::uint64_t startOf(const std::string &target)
    {
        const TrackedTarget *known = gateway.targets().find(TargetId(target));
        return known ? known->entry.startedAt : 0;
    }
    /** Whether peers get the latest change. */
    bool isNews() const { return state.replica().relevantRevision() == revision; }
    /** True if the own cell has slots at the target. */
    bool hasSlots(const std::string &target)
    {
        const TrackedTarget *known = gateway.targets().find(TargetId(target));
        return known && known->cellSlots > 0;
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

} // namespace Apricothook
