#pragma once

#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_lookup_dialect.hpp>
#include <apricothook/serving/apricothook_lookup_policy.hpp>
#include <apricothook/serving/apricothook_peer_exchange.hpp>
#include <apricothook/serving/apricothook_published_state.hpp>
#include <apricothook/serving/apricothook_serving_settings.hpp>
#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <memory>

namespace Apricothook {

/** The adapters to what callers, targets and the configuration service speak. */
struct ServingAdapters
{
    const WireProtocol &wire;
    const ItemProtocol &items;
    const ItemDecoder &decoder;
    const LookupDialect &lookups;
};

/**
 * A daemon that serves callers from what it hears: all parts joined on one event loop.
 *
 * It stops in steps. First it leaves lookups and readiness and serves on, as callers keep what they
 * heard. When that must have lapsed it takes nothing new, ends what it has, and exits.
 */
class ServingProcess
{
public:
    /** How long callers may keep a lookup's answer; some keep it three times as long. */
    static constexpr std::chrono::seconds LookupKeep {1};
    static constexpr int KeepFactor = 3;
    /** Left of the grace when the process ends whatever is open. */
    static constexpr std::chrono::milliseconds EndMargin {600};

    ServingProcess(const ServingSettings &settings, const ServingAdapters &adapters,
                   const Clock &clock, RandomSource &random, LogWriter &log);
    ~ServingProcess();
    ServingProcess(const ServingProcess &) = delete;
    ServingProcess &operator=(const ServingProcess &) = delete;

    Result<void, ListenError> start();
    /** Serves until a stop is complete. */
    void run() { m_loop.run(); }
    void startStopping();
    EventLoop &loop() { return m_loop; }

private:
    SmallAnswer answerLookup(const RequestHead &request) const;
    SmallAnswer answerReadiness(const RequestHead &request) const;
    SmallAnswer answerControl(const RequestHead &request) const;
    std::vector<LookupEntry> readyEntries() const;
    void watchItems();
    void setReading(bool reads);
    void stopTaking();
    void endWhenDone(Instant latest);
    void rankCustomers();

    const ServingSettings m_settings;
    const ServingAdapters m_adapters;
    const Incarnation m_incarnation;
    LogWriter &m_log;
    EventLoop m_loop;
    Metrics m_metrics;
    Gateway m_gateway;
    PublishedState m_published;
    PeerExchange m_peers;
    std::unique_ptr<SmallHttpServer> m_lookups;
    std::unique_ptr<SmallHttpServer> m_readiness;
    std::unique_ptr<SmallHttpServer> m_control;
    std::unique_ptr<ItemWatcher> m_watcher;
    bool m_stopping = false;
};

} // namespace Apricothook
