#pragma once

#include <apricothook/bench/apricothook_bench_fakes.hpp>
#include <apricothook/core/apricothook_core.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>

#include <deque>
#include <map>

namespace Apricothook {

/** What one core sent, and how much. */
struct BenchTraffic
{
    std::uint64_t messages = 0;
    /** Encoded, without seal and headers. */
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    /** With seal and the headers of IP and UDP. */
    std::uint64_t wireBytes = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
};

/** One daemon's core before fake ports, in a fleet whose other members always answer well. */
class BenchCore : TargetPort, PeerPort, PlatformPort, EventSink, RequestObserver
{
public:
    explicit BenchCore(const BenchScale &scale);
    ~BenchCore() override;

    /** Sends one request whose key is a ticket of this daemon, or of the caller's own. */
    void begin(bool isTicketed);
    /** Answers all that the core sent, until it is quiet. */
    void settle();
    void pass(Duration time);
    /** From now on answers begin and never end. */
    void hold() { m_isHolding = true; }
    void applyConfiguration(const std::shared_ptr<const Configuration> &configuration);
    const BenchTraffic &traffic() const { return m_traffic; }
    Generation generation() const { return m_core->generation(); }

private:
    struct Letter
    {
        MemberId to;
        PeerMessage message;
    };

    void join();
    void reply(const Letter &letter);
    void arrive(const MemberId &from, PeerMessage message);

    bool order(TargetOrder order) override;
    void send(const MemberId &to, const Endpoint &address, const PeerMessage &message) override;
    void flush() override;
    void setWatching(bool, Generation) override { }
    void readOnce(Generation) override { }
    void fetchText(const Endpoint &, Generation, std::uint64_t) override { }
    void fetchAnswer(const Endpoint &, const RequestKey &, ExchangeId) override { }
    void offerText(Generation, std::uint64_t, std::shared_ptr<const std::string>) override { }
    void record(const DecisionEvent &) override { }
    void ended(const RequestSummary &summary) override;

    BenchScale m_scale;
    BenchRandom m_random;
    Instant m_now = BenchStart;
    std::unique_ptr<Core> m_core;
    std::deque<Letter> m_letters;
    std::deque<DispatchOrder> m_orders;
    std::deque<EngineOrderEnded> m_engineOrders;
    std::map<MemberId, std::uint64_t> m_recipients;
    BenchTraffic m_traffic;
    std::uint64_t m_next = 0;
    bool m_isHolding = false;
    StateDigest m_digest;
};

} // namespace Apricothook
