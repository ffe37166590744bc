#pragma once

#include <apricothook/dispatch/apricothook_fleet_rate_limiter.hpp>
#include <apricothook/testsupport/apricothook_deterministic_random.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

namespace Apricothook {

/** How the emulated network treats datagrams between two daemons. */
struct LimitNetwork
{
    Duration delay = std::chrono::milliseconds(2);
    Duration jitter = std::chrono::milliseconds(2);
    double lossRate = 0;
    double duplicationRate = 0;
    /** The link from one daemon to another is cut. */
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    /** Messages that never arrive. */
    std::function<bool(const LimitMessage &message)> isLost;
    /** Time without a message after which a daemon counts as gone. */
    Duration silenceTimeout = std::chrono::seconds(1);
};

/** Totals over a customer's requests. */
struct LimitCounts
{
    double requestedUnits = 0;
    double admittedUnits = 0;
    std::size_t requested = 0;
    std::size_t admitted = 0;
    std::size_t refused = 0;
    /** Decisions that weren't returned at once. */
    std::size_t waited = 0;
    Duration longestWait {};
    std::size_t messages = 0;
};

/**
 * The limits of many daemons in virtual time, with a network that loses, delays, duplicates and
 * cuts. Each daemon's knowledge of the others is emulated.
 */
class EmulatedLimits
{
public:
    EmulatedLimits(std::size_t daemons, std::vector<CustomerRule> customers,
                   const FleetBounds &bounds, std::uint64_t seed);
    ~EmulatedLimits();

    Instant now() const { return clock.now(); }
    /** Advances the time in steps of a millisecond; `step` runs at each. */
    void run(Duration time, const std::function<void()> &step = {});
    /** Sends a request to the daemon; if that one is dead, to the next. */
    void send(std::size_t daemon, std::size_t customer, double units);
    void kill(std::size_t daemon);
    /** Starts the daemon with empty memory. */
    void start(std::size_t daemon);
    /** A frozen daemon neither receives nor does anything; its messages wait. */
    void setFrozen(std::size_t daemon, bool frozen);
    void setCustomers(const std::vector<CustomerRule> &customers);
    /** The first daemon that grants the customer's units. */
    std::optional<std::size_t> grantor(std::size_t customer) const;
    std::size_t grantors(std::size_t customer) const;
    /** Largest sum of the customer's admissions over any window, relative to its limit. */
    double worstRatio(std::size_t customer) const;
    const LimitCounts &counts(std::size_t customer) const { return m_counts[customer]; }
    std::size_t size() const { return m_nodes.size(); }

    static LimitPeer peerOf(std::size_t daemon);
    static Endpoint addressOf(std::size_t daemon) { return peerOf(daemon).address; }
    /** The daemons that the given one hears. */
    std::vector<std::size_t> heardBy(std::size_t daemon) const;
    /** Whether the daemon has discovered the others. */
    bool knowsFleet(std::size_t daemon) const;
    /** For limits that aren't customers'; decisions are passed to `onDecided`. */
    void take(std::size_t daemon, std::uint64_t exchange, const LimitedUnits &units);
    FleetRateLimiter &limits(std::size_t daemon);
    /** Sends the daemon's messages through the emulated network. */
    LimitMessenger &messenger(std::size_t daemon);

    std::function<void(std::size_t daemon, const LimitDecision &decision)> onDecided;
    /** Like onDecided, for callers that tell exchanges apart. */
    std::function<void(std::size_t daemon, std::uint64_t exchange, const LimitDecision &decision)>
        onExchangeDecided;
    /** Called for messages about suspect requests. */
    std::function<void(std::size_t daemon, const LimitMessage &message)> onSuspectMessage;
    /** Called for messages about what streams began at. */
    std::function<void(std::size_t daemon, const LimitMessage &message)> onStreamMessage;
    std::function<void(std::size_t daemon, const TargetLimitNotice &notice)> onNotice;
    /** Called before a daemon asks another one for units. */
    std::function<void(std::size_t daemon, const Endpoint &to, std::uint64_t limit)> onUnitsRequest;

    ManualClock clock;
    LimitNetwork network;
    DeterministicRandom random;

private:
    struct Node;
    struct Datagram
    {
        Instant at {};
        std::uint64_t number = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        LimitMessage message;
        bool operator<(const Datagram &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct Admitted
    {
        Instant at {};
        double units = 0;
    };

    void post(std::size_t from, const Endpoint &to, const LimitMessage &message);
    void deliver();
    void updateFleet(std::size_t daemon);
    void decided(std::size_t daemon, std::size_t exchange, const LimitDecision &decision);
    bool reaches(std::size_t from, std::size_t to) const;
    double uniform();

    FleetBounds m_bounds;
    std::vector<CustomerRule> m_customers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::priority_queue<Datagram> m_inTransit;
    std::uint64_t m_posted = 0;
    std::vector<LimitCounts> m_counts;
    std::vector<std::vector<Admitted>> m_admitted;
};

} // namespace Apricothook
