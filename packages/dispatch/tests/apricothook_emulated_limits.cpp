#include <apricothook_emulated_limits.hpp>

#include <apricothook/dispatch/apricothook_reachability_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

constexpr std::chrono::milliseconds Step {1};
constexpr std::chrono::milliseconds Tick {200};
/** Time for which silent daemons count as possibly serving. */
constexpr std::chrono::seconds SilentMemberTime {12};
/** Longest time until a daemon that starts and the others have discovered each other. */
constexpr std::chrono::milliseconds LongestDiscovery {800};
/** A daemon knows the fleet once it has discovered no other daemon for this time. */
constexpr std::chrono::milliseconds DiscoveryQuietTime {400};
constexpr std::chrono::milliseconds ShortestDiscoveryAge {500};
constexpr std::chrono::seconds LongestDiscoveryAge {5};
/** Time after which a daemon that hears less than half of the seeds considers them gone. */
constexpr std::chrono::seconds MissingSeedsTime {20};
constexpr std::size_t Seeds = 3;
constexpr std::chrono::seconds StartedTogether {1};

} // namespace

struct EmulatedLimits::Node : LimitMessenger, private LimitListener, private GrantorListener
{
    Node(EmulatedLimits &fleet, std::size_t index, Duration firstTick)
        : fleet(fleet)
        , index(index)
        , limits(peerOf(index), *this, *this, *this, fleet.random)
        , started(fleet.now())
        , lastDiscovery(fleet.now())
        , lastTick(fleet.now() - Tick + firstTick)
    {
    }

    void send(const Endpoint &to, const LimitMessage &message) override
    {
        if (const auto *request = std::get_if<UnitsRequest>(&message);
            request && fleet.onUnitsRequest)
            fleet.onUnitsRequest(index, to, request->limit);
        fleet.post(index, to, message);
    }
    void broadcast(const LimitMessage &message) override
    {
        for (const auto &[other, heard] : lastHeard)
            send(addressOf(other), message);
    }
    void take(const TargetLimitNotice &notice)
    {
        if (fleet.onNotice)
            fleet.onNotice(index, notice);
    }
    void take(const CrashNotice &notice) { takeSuspectMessage(notice); }
    void take(const SuspectQuery &query) { takeSuspectMessage(query); }
    void take(const SuspectReply &reply) { takeSuspectMessage(reply); }
    void take(const PermitRequest &request) { takeSuspectMessage(request); }
    void take(const PermitReply &reply) { takeSuspectMessage(reply); }
    void take(const PermitReport &report) { takeSuspectMessage(report); }
    void take(const StreamOriginNotice &notice) { takeStreamMessage(notice); }
    void take(const StreamOriginQuery &query) { takeStreamMessage(query); }
    void take(const StreamOriginReply &reply) { takeStreamMessage(reply); }
    /** No emulated target limits its rejections. */
    void take(const BrittlenessNotice &) { }
    void take(const TargetFullNotice &) { }
    void takeSuspectMessage(const LimitMessage &message)
    {
        if (fleet.onSuspectMessage)
            fleet.onSuspectMessage(index, message);
    }
    void takeStreamMessage(const LimitMessage &message)
    {
        if (fleet.onStreamMessage)
            fleet.onStreamMessage(index, message);
    }
    template <typename Message>
    void take(const Message &message)
    {
        limits.take(message, fleet.now());
    }
    void onLimitDecided(ExchangeId exchange, const LimitDecision &decision) override
    {
        fleet.decided(index, exchange.value(), decision);
    }
    void onGrantorChanged(std::uint64_t customer, GrantorChange change, double) override
    {
        if (change == GrantorChange::TakenOver || change == GrantorChange::TakenEmpty)
            grants.insert(customer);
        else
            grants.erase(customer);
    }

    EmulatedLimits &fleet;
    std::size_t index;
    FleetRateLimiter limits;
    ReachabilityEstimator reachability;
    Instant started {};
    Instant lastDiscovery {};
    Instant lastTick {};
    std::map<std::size_t, Instant> lastHeard;
    std::set<std::uint64_t> grants;
    bool isAlive = true;
    bool isFrozen = false;
    bool knowsFleet = false;
};

EmulatedLimits::EmulatedLimits(std::size_t daemons, std::vector<CustomerRule> customers,
                               const FleetBounds &bounds, std::uint64_t seed)
    : random(seed)
    , m_bounds(bounds)
    , m_customers(std::move(customers))
    , m_counts(m_customers.size())
    , m_admitted(m_customers.size())
{
    m_nodes.resize(daemons);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        start(daemon);
}

EmulatedLimits::~EmulatedLimits() = default;

double EmulatedLimits::uniform()
{
    constexpr double Scale = 1.0 / 18446744073709551616.0;
    return static_cast<double>(random.next()) * Scale;
}

void EmulatedLimits::start(std::size_t daemon)
{
    const auto firstTick = std::chrono::duration_cast<Duration>(Tick * uniform());
    m_nodes[daemon] = std::make_unique<Node>(*this, daemon, firstTick);
    m_nodes[daemon]->limits.setFleet({{}, 1, false, std::nullopt}, now());
    m_nodes[daemon]->limits.setBudgets(budgetsOf(m_customers, m_bounds), now());
}

void EmulatedLimits::kill(std::size_t daemon)
{
    m_nodes[daemon]->isAlive = false;
    m_nodes[daemon]->grants.clear();
}

void EmulatedLimits::setFrozen(std::size_t daemon, bool frozen)
{
    m_nodes[daemon]->isFrozen = frozen;
}

void EmulatedLimits::setCustomers(const std::vector<CustomerRule> &customers)
{
    m_customers = customers;
    for (const auto &node : m_nodes)
        node->limits.setBudgets(budgetsOf(customers, m_bounds), now());
}

bool EmulatedLimits::reaches(std::size_t from, std::size_t to) const
{
    return !network.isCut || !network.isCut(from, to);
}

void EmulatedLimits::post(std::size_t from, const Endpoint &to, const LimitMessage &message)
{
    if (network.isLost && network.isLost(message))
        return;
    const std::size_t receiver = to.port - 1U;
    const std::size_t copies = 1 + (uniform() < network.duplicationRate ? 1 : 0);
    for (std::size_t copy = 0; copy < copies; ++copy) {
        if (uniform() < network.lossRate || !reaches(from, receiver))
            continue;
        const auto jitter = std::chrono::duration_cast<Duration>(network.jitter * uniform());
        m_inTransit.push({now() + network.delay + jitter, ++m_posted, from, receiver, message});
    }
}

void EmulatedLimits::deliver()
{
    std::vector<Datagram> deferred;
    while (!m_inTransit.empty() && m_inTransit.top().at <= now()) {
        const Datagram datagram = m_inTransit.top();
        m_inTransit.pop();
        Node &node = *m_nodes[datagram.to];
        if (node.isFrozen) {
            deferred.push_back(datagram);
            continue;
        }
        if (!node.isAlive)
            continue;
        std::visit([&](const auto &message) { node.take(message); }, datagram.message);
    }
    for (const Datagram &datagram : deferred)
        m_inTransit.push(datagram);
}

void EmulatedLimits::updateFleet(std::size_t daemon)
{
    Node &node = *m_nodes[daemon];
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        const Node &peer = *m_nodes[other];
        if (other == daemon || !peer.isAlive || peer.isFrozen || !reaches(other, daemon))
            continue;
        const Instant bothStarted = std::max(node.started, peer.started);
        const Duration discovery
            = LongestDiscovery * static_cast<std::int64_t>((daemon * 7 + other * 13) % 16) / 16;
        if (now() - bothStarted < discovery)
            continue;
        const auto [known, isNew] = node.lastHeard.try_emplace(other, now());
        if (isNew || known->second < peer.started)
            node.lastDiscovery = now();
        known->second = now();
    }
    std::erase_if(node.lastHeard,
                  [this](const auto &entry) { return now() - entry.second > SilentMemberTime; });
    const Duration age = now() - node.started;
    FleetMembership fleet;
    fleet.known = node.lastHeard.size() + 1;
    const std::size_t seeds = std::min<std::size_t>(m_nodes.size(), Seeds);
    std::size_t heardSeeds = daemon < seeds ? 1 : 0;
    for (std::size_t seed = 0; seed < seeds; ++seed)
        heardSeeds += node.lastHeard.contains(seed) ? 1 : 0;
    fleet.isComplete = 2 * heardSeeds <= seeds ? age > MissingSeedsTime
                                               : age > LongestDiscoveryAge
            || (age > ShortestDiscoveryAge && now() - node.lastDiscovery > DiscoveryQuietTime);
    fleet.members.push_back({peerOf(daemon), 1, false});
    const auto isOlder = [&](const auto &entry) {
        return m_nodes[entry.first]->started + StartedTogether < node.started;
    };
    if (std::ranges::none_of(node.lastHeard, isOlder))
        fleet.startedTogether = node.started;
    for (const auto &[other, heard] : node.lastHeard) {
        if (now() - heard <= network.silenceTimeout)
            fleet.members.push_back({peerOf(other), 1, false});
        if (!node.limits.isCandidate()
            || random.next() % node.lastHeard.size() >= ReachabilityEstimator::ProbesPerRound)
            continue;
        const std::uint64_t probe = random.next();
        node.reachability.sent(probe, now());
        const Node &peer = *m_nodes[other];
        if (peer.isAlive && !peer.isFrozen && reaches(daemon, other) && reaches(other, daemon)
            && uniform() >= 2 * network.lossRate)
            node.reachability.answered(probe);
    }
    node.limits.setLimitFraction(limitFractionOf(node.reachability.reachableFraction(
                                     node.lastHeard.size(), node.lastHeard.size() + 1, now())),
                                 now());
    node.knowsFleet = fleet.isComplete;
    node.limits.setFleet(fleet, now());
}

void EmulatedLimits::run(Duration time, const std::function<void()> &step)
{
    const Instant end = now() + time;
    while (now() < end) {
        clock.advance(Step);
        deliver();
        for (std::size_t daemon = 0; daemon < m_nodes.size(); ++daemon) {
            Node &node = *m_nodes[daemon];
            if (!node.isAlive || node.isFrozen)
                continue;
            if (now() - node.lastTick >= Tick) {
                node.lastTick = now();
                updateFleet(daemon);
                node.limits.review(now());
            }
            const std::optional<Instant> next = node.limits.nextReview();
            if (next && *next <= now())
                node.limits.review(now());
        }
        if (step)
            step();
    }
}

void EmulatedLimits::send(std::size_t daemon, std::size_t customer, double units)
{
    std::size_t at = daemon;
    while (!m_nodes[at]->isAlive) {
        at = (at + 1) % m_nodes.size();
        if (at == daemon)
            return;
    }
    LimitCounts &counts = m_counts[customer];
    counts.requestedUnits += units;
    ++counts.requested;
    if (m_nodes[at]->isFrozen)
        return;
    // The exchange's number identifies the customer when the decision arrives.
    const ExchangeId exchange(++m_posted * m_customers.size() + customer);
    const std::optional<LimitDecision> decision
        = m_nodes[at]->limits.take(exchange,
                                   {.limit = customerHash(m_customers[customer].name),
                                    .budget = budgetOf(m_customers[customer], m_bounds),
                                    .demand = {units, 0},
                                    .longestWait = FleetRateLimiter::LongestWait},
                                   now());
    if (decision)
        decided(at, exchange.value(), *decision);
    else
        ++counts.waited;
}

LimitPeer EmulatedLimits::peerOf(std::size_t daemon)
{
    return {(daemon + 1) * 0x9E3779B97F4A7C15ULL,
            {"10.0.0.1", static_cast<std::uint16_t>(daemon + 1)}};
}

std::vector<std::size_t> EmulatedLimits::heardBy(std::size_t daemon) const
{
    std::vector<std::size_t> heard;
    for (const auto &[other, at] : m_nodes[daemon]->lastHeard)
        heard.push_back(other);
    return heard;
}

bool EmulatedLimits::knowsFleet(std::size_t daemon) const
{
    return m_nodes[daemon]->knowsFleet;
}

void EmulatedLimits::take(std::size_t daemon, std::uint64_t exchange, const LimitedUnits &units)
{
    const std::optional<LimitDecision> decision
        = m_nodes[daemon]->limits.take(ExchangeId(exchange), units, now());
    if (decision)
        decided(daemon, exchange, *decision);
}

FleetRateLimiter &EmulatedLimits::limits(std::size_t daemon)
{
    return m_nodes[daemon]->limits;
}

LimitMessenger &EmulatedLimits::messenger(std::size_t daemon)
{
    return *m_nodes[daemon];
}

void EmulatedLimits::decided(std::size_t daemon, std::size_t exchange,
                             const LimitDecision &decision)
{
    if (onExchangeDecided) {
        onExchangeDecided(daemon, exchange, decision);
        return;
    }
    if (onDecided) {
        onDecided(daemon, decision);
        return;
    }
    const std::size_t customer = exchange % m_customers.size();
    LimitCounts &counts = m_counts[customer];
    counts.longestWait = std::max(counts.longestWait, decision.waited);
    if (!decision.isAdmitted) {
        ++counts.refused;
        return;
    }
    ++counts.admitted;
    counts.admittedUnits += decision.demand.units;
    m_admitted[customer].push_back({now(), decision.demand.units});
}

std::size_t EmulatedLimits::grantors(std::size_t customer) const
{
    const std::uint64_t number = customerHash(m_customers[customer].name);
    return static_cast<std::size_t>(std::ranges::count_if(
        m_nodes, [number](const auto &node) { return node->grants.contains(number); }));
}

std::optional<std::size_t> EmulatedLimits::grantor(std::size_t customer) const
{
    const std::uint64_t number = customerHash(m_customers[customer].name);
    const auto found = std::ranges::find_if(
        m_nodes, [number](const auto &node) { return node->grants.contains(number); });
    if (found == m_nodes.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_nodes.begin());
}

double EmulatedLimits::worstRatio(std::size_t customer) const
{
    // Any window admits at most what the rate allows over its full length; shorter intervals admit
    // less.
    const CustomerRule &rule = m_customers[customer];
    const std::vector<Admitted> &admitted = m_admitted[customer];
    double worst = 0;
    const double window = std::chrono::duration<double>(m_bounds.customerWindow).count();
    const double bound
        = (rule.ratePerSecond * window + rule.burst) * (1 + m_bounds.customerOvershoot)
        + m_bounds.customerSlack;
    double sum = 0;
    std::size_t first = 0;
    for (const Admitted &last : admitted) {
        sum += last.units;
        while (last.at - admitted[first].at > m_bounds.customerWindow)
            sum -= admitted[first++].units;
        worst = std::max(worst, sum / bound);
    }
    return worst;
}

} // namespace Apricothook
