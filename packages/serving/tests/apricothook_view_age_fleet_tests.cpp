#include "apricothook_published_state_fixture.hpp"

#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/serving/apricothook_peer_exchange.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace Apricothook;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step {10};
constexpr milliseconds ApplyTimeout {2000};
/** Time in which the source answers a call. */
constexpr milliseconds SourceDelay {20};

ServingSettings settingsOf(std::size_t number)
{
    constexpr std::size_t Seeds = 3;
    constexpr std::size_t HostsPerNetwork = 200;
    const auto addressOf = [](std::size_t daemon) {
        const std::string host = "127.41." + std::to_string(daemon / HostsPerNetwork) + "."
            + std::to_string(daemon % HostsPerNetwork + 1);
        return Endpoint {host, 7641};
    };
    ServingSettings settings;
    settings.member = MemberId("vm-" + std::to_string(number));
    settings.capacity = number % 13 == 0 ? 50 : 12;
    settings.peerAddress = addressOf(number);
    // Fetches from peers fail, as nothing listens at this address.
    settings.controlAddress = {"127.0.0.1", 1};
    for (std::size_t seed = 0; seed < Seeds; ++seed)
        settings.seeds.push_back(addressOf(seed));
    settings.bounds.applyTimeout = ApplyTimeout;
    return settings;
}

/** A daemon that reads at an emulated source, and exchanges datagrams with the others. */
class ReadingDaemon : public PublishedStateFixture
{
public:
    explicit ReadingDaemon(std::size_t number)
        : m_settings(settingsOf(number))
        , m_random(number + 1)
        , m_peers(loop, m_settings, Incarnation(1), gateway, state, m_random, metrics, log)
    {
        REQUIRE(m_peers.start([this](bool reads) { setReads(reads); }));
    }

    void step(Revision published)
    {
        clock.advance(Step);
        if (m_reads && !isSilenced && clock.now() >= m_nextAnswer)
            takeAnswer(published);
        loop.runOnce(milliseconds(0));
    }
    bool reads() const { return m_reads; }
    const PeerExchange &peers() const { return m_peers; }

    /** The source answers no calls of this daemon, which doesn't notice it. */
    bool isSilenced = false;

private:
    void setReads(bool reads)
    {
        m_reads = reads;
        m_nextAnswer = clock.now() + SourceDelay;
    }
    void takeAnswer(Revision published)
    {
        m_nextAnswer = clock.now() + ItemWatcher::watchTime(ApplyTimeout);
        if (!state.reachesSource()) {
            state.setSourceState(SourceState::Reachable);
            m_peers.onOwnSourceStateChanged();
        }
        const std::string generation = std::to_string(published);
        state.apply({{{"c", generation, published}}, false, published});
        m_peers.onItemsApplied();
        m_peers.onSourceConfirmed(clock.now() - SourceDelay);
    }

    const ServingSettings m_settings;
    DeterministicRandom m_random;
    bool m_reads = true;
    Instant m_nextAnswer {};
    PeerExchange m_peers;
};

class ReadingFleet
{
public:
    explicit ReadingFleet(std::size_t daemons)
    {
        for (std::size_t number = 0; number < daemons; ++number)
            m_daemons.push_back(std::make_unique<ReadingDaemon>(number));
    }

    void run(milliseconds time)
    {
        for (milliseconds passed {0}; passed < time; passed += Step) {
            for (const std::unique_ptr<ReadingDaemon> &daemon : m_daemons)
                daemon->step(m_published);
        }
    }
    void publish() { ++m_published; }
    std::size_t readers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_daemons, [](const auto &daemon) { return daemon->reads(); }));
    }
    /** Silences the source for all daemons that read there. */
    void silenceReaders()
    {
        for (const std::unique_ptr<ReadingDaemon> &daemon : m_daemons)
            daemon->isSilenced = daemon->reads();
    }
    /** Number of daemons that the source answers and that lack the last change. */
    std::size_t outdated() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [&](const auto &daemon) {
            return !daemon->isSilenced && daemon->state.replica().revision() < m_published;
        }));
    }
    /** Highest age of the view of any daemon. */
    Duration oldestView() const
    {
        Duration oldest {};
        for (const std::unique_ptr<ReadingDaemon> &daemon : m_daemons)
            oldest = std::max(oldest, daemon->peers().viewAge().value());
        return oldest;
    }

private:
    std::vector<std::unique_ptr<ReadingDaemon>> m_daemons;
    Revision m_published = 1;
};

/** Time in which the daemons discover each other and choose their readers. */
constexpr milliseconds StartTime {4000};

} // namespace

TEST_CASE("a change is in force in time behind readers that the source no longer answers")
{
    // Guards against a daemon that keeps an outdated view because its readers report nothing and
    // seem to be well.
    for (const std::size_t daemons : {9U, 40U, 300U}) {
        CAPTURE(daemons);
        ReadingFleet fleet(daemons);
        fleet.run(StartTime);
        REQUIRE(fleet.outdated() == 0);
        fleet.silenceReaders();
        fleet.publish();
        fleet.run(ApplyTimeout);
        CHECK(fleet.outdated() == 0);
    }
}

TEST_CASE("a change is in force in time behind peers that announce it and don't deliver it")
{
    for (const std::size_t daemons : {9U, 40U}) {
        CAPTURE(daemons);
        ReadingFleet fleet(daemons);
        fleet.run(StartTime);
        fleet.publish();
        fleet.run(ApplyTimeout);
        CHECK(fleet.outdated() == 0);
    }
}

TEST_CASE("a calm fleet confirms the view of all daemons with a few readers")
{
    for (const std::size_t daemons : {9U, 40U}) {
        CAPTURE(daemons);
        ReadingFleet fleet(daemons);
        fleet.run(StartTime);
        const std::size_t wanted = daemons <= FleetDirectory::LargestCell
            ? FleetDirectory::ReadersPerCell
            : FleetDirectory::FleetReaders;
        for (int round = 0; round < 100; ++round) {
            fleet.run(Step);
            CHECK(fleet.readers() == wanted);
            CHECK(fleet.oldestView() <= ViewAge::limit(ApplyTimeout));
        }
    }
}
