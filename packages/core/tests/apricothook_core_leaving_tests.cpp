#include <apricothook/core/apricothook_core.hpp>
#include <apricothook/core/apricothook_core_ports_set.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** Ports that lead nowhere. */
struct NoPorts : TargetPort, PeerPort, PlatformPort, EventSink, RequestObserver, RandomSource
{
    bool order(TargetOrder) override { return false; }
    void send(const MemberId &, const Endpoint &, const PeerMessage &) override { }
    void setWatching(bool, Generation) override { }
    void readOnce(Generation) override { }
    void fetchText(const Endpoint &, Generation, std::uint64_t) override { }
    void fetchAnswer(const Endpoint &, const RequestKey &, ExchangeId) override { }
    void offerText(Generation, std::uint64_t, std::shared_ptr<const std::string>) override { }
    void record(const DecisionEvent &) override { }
    void ended(const RequestSummary &) override { }
    std::uint64_t next() override { return ++count; }
    std::uint64_t count = 0;
};

std::string lookup(Core &core, Instant now)
{
    const auto answer = std::make_shared<AnswerStream>();
    core.handle(EntriesLookup {answer}, now);
    std::string bytes(1000, ' ');
    bytes.resize(answer->read(bytes.data(), bytes.size()));
    return bytes;
}

} // namespace

TEST_SUITE("[core][leaving]")
{
    TEST_CASE("An entry that is leaving still gives a ticket")
    {
        // All daemons of a fleet are replaced in turn. Callers that look up at a leaving entry and
        // get no ticket use keys without one; their homes have just lost their memory and refuse
        // them as unknown: 188 of 4,018 keys in such a run, and 3 of 4,189 with tickets.
        NoPorts ports;
        CoreIdentity identity;
        identity.settings.id = MemberId("a");
        identity.incarnation = Incarnation(5);
        identity.keys = {{1, std::string(32, 'k')}};
        const Instant now {std::chrono::hours(1)};
        Core core(identity, {ports, ports, ports, ports, ports, ports}, now);
        CHECK(lookup(core, now).find("\"ticket\":\"t1.a.") != std::string::npos);
        core.handle(StopRequested(), now);
        CHECK(lookup(core, now).find("\"ticket\":\"t1.a.") != std::string::npos);
    }
}
