#pragma once

#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/paths/apricothook_relay_server.hpp>
#include <apricothook/serving/apricothook_fleet_relay_peers.hpp>
#include <apricothook/serving/apricothook_heap_trimmer.hpp>
#include <apricothook/serving/apricothook_lookup_policy.hpp>
#include <apricothook/serving/apricothook_lookup_protocol.hpp>
#include <apricothook/serving/apricothook_peer_exchange.hpp>
#include <apricothook/serving/apricothook_peer_item_responses.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>
#include <apricothook/serving/apricothook_serving_settings.hpp>
#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <memory>

namespace Apricothook {

/** Adapters to the protocols of callers, targets and the configuration service. */
struct ServingAdapters
{
    const WireProtocol &wire;
    const ItemProtocol &items;
    const ItemDecoder &decoder;
    const LookupProtocol &lookups;
};

/**
 * A daemon that serves callers, assembled from its parts on one event loop.
 *
 * A shutdown has two phases. First the daemon is no longer ready and lookups leave it out, but it
 * keeps serving, as callers cache lookup results. Once cached results have expired, it refuses new
 * requests, completes the open ones and exits.
 */
class ServingProcess
{
public:
    /** How long callers may cache a lookup result; some cache it three times as long. */
    static constexpr std::chrono::seconds LookupTtl {1};
    static constexpr int TtlFactor = 3;
    /** Part of the grace period left over when the process ends despite open requests. */
    static constexpr std::chrono::milliseconds ShutdownMargin {600};

    ServingProcess(const ServingSettings &settings, const ServingAdapters &adapters,
                   const Clock &clock, RandomSource &random, LogWriter &log);
    ~ServingProcess();
    ServingProcess(const ServingProcess &) = delete;
    ServingProcess &operator=(const ServingProcess &) = delete;

    Result<void, ListenError> start();
    /** Serves until the shutdown is complete. */
    void run() { m_loop.run(); }
    void startShutdown();
    EventLoop &loop() { return m_loop; }

private:
    SimpleHttpResponse handleLookup(const RequestHead &request);
    SimpleHttpResponse handleReadiness(const RequestHead &request);
    SimpleHttpResponse handleControl(const RequestHead &request);
    std::vector<LookupCandidate> lookupCandidates() const;
    void startItemWatcher();
    void setReadsSource(bool reads);
    void stopAccepting();
    void stopWhenIdle(Instant latest);
    void updateMetrics();

    const ServingSettings m_settings;
    const ServingAdapters m_adapters;
    const Clock &m_clock;
    const Incarnation m_incarnation;
    LogWriter &m_log;
    EventLoop m_loop;
    Metrics m_metrics;
    HeapTrimmer m_heapTrimmer;
    Gateway m_gateway;
    PublishedState m_published;
    PeerItemResponses m_itemResponses {m_published.replica()};
    PeerExchange m_peers;
    FleetRelayPeers m_relayPeers {m_loop, m_peers.directory()};
    RelayServer m_relay;
    std::unique_ptr<SimpleHttpServer> m_lookups;
    std::unique_ptr<SimpleHttpServer> m_readiness;
    std::unique_ptr<SimpleHttpServer> m_control;
    std::unique_ptr<ItemWatcher> m_watcher;
    bool m_stopping = false;
};

} // namespace Apricothook
