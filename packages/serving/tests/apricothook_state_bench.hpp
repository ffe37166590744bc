#pragma once

#include <apricothook/serving/apricothook_published_state.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <optional>
#include <string>

namespace Apricothook {

/**
 * Items named "c" hold a generation, items named "t/ID" a state and perhaps "@" and a start or "#"
 * and a sequence; items named "e/DATACENTRE" evacuate it.
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
    DataCentreId dataCentreOfKey(std::string_view key) const override
    {
        return DataCentreId(std::string(key.substr(2)));
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
        entry.dataCentre = DataCentreId("d");
        entry.isDraining = value.starts_with("draining");
        if (const std::size_t at = value.find('@'); at != std::string_view::npos)
            entry.startedAt = std::stoul(std::string(value.substr(at + 1)));
        if (const std::size_t at = value.find('#'); at != std::string_view::npos)
            entry.sequence = std::stoul(std::string(value.substr(at + 1)));
        return entry;
    }
};

/** The test looks at the gateway's state; no caller or target is connected. */
class NoWire : public WireProtocol
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

/** Published items in front of a gateway without callers and targets. */
struct StateBench
{
    ManualClock clock;
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
    /** This daemon is the only one that reads. */
    void setSource(SourceState source)
    {
        state.setSourceState(source);
        state.noteSource({state.reachesSource(), state.hasLostSource()});
    }
    /** Its target may get requests. */
    bool isOffered(const std::string &target)
    {
        const TrackedTarget *known = gateway.targets().find(TargetId(target));
        return known && !known->entry.isDraining;
    }
    /** A cell may use slots of it. */
    bool takesWork(const std::string &target)
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
