#include <apricothook_emulated_streams.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <limits>

namespace Apricothook {

namespace {

constexpr std::chrono::milliseconds ReviewInterval {200};
/** Versions that serve side by side. */
constexpr unsigned Versions = 3;
constexpr std::chrono::milliseconds ShortestStream {200};
constexpr std::chrono::seconds LongestStream {8};

} // namespace

struct EmulatedStreams::Daemon : private StreamOriginListener
{
    Daemon(EmulatedStreams &fleet, std::size_t index, std::uint64_t process)
        : fleet(fleet)
        , index(index)
        , process(process)
        , exchange(EmulatedLimits::peerOf(index), fleet.m_fleet.messenger(index), *this)
    {
        exchange.joinFleet();
    }
    void onOriginDecided(ExchangeId decided, const StreamOriginDecision &decision) override
    {
        fleet.onDecided(index, decided.value(), decision);
    }

    EmulatedStreams &fleet;
    const std::size_t index;
    const std::uint64_t process;
    StreamOriginExchange exchange;
    bool isAlive = true;
    bool isFrozen = false;
};

EmulatedStreams::EmulatedStreams(std::size_t daemons, double streamsPerSecond, std::uint64_t seed)
    : m_fleet(daemons, {}, FleetBounds(), seed), m_perSecond(streamsPerSecond)
{
    m_daemons.resize(daemons);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        startDaemon(daemon);
    m_fleet.onStreamMessage = [this](std::size_t daemon, const LimitMessage &message) {
        StreamOriginExchange &exchange = m_daemons[daemon]->exchange;
        ++m_counts.messages;
        const Instant now = m_fleet.now();
        if (const auto *notice = std::get_if<StreamOriginNotice>(&message))
            exchange.take(*notice, now);
        else if (const auto *query = std::get_if<StreamOriginQuery>(&message))
            exchange.take(*query, now);
        else
            exchange.take(std::get<StreamOriginReply>(message), now);
    };
}

EmulatedStreams::~EmulatedStreams() = default;

double EmulatedStreams::uniform()
{
    return static_cast<double>(m_fleet.random.next())
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void EmulatedStreams::startDaemon(std::size_t daemon)
{
    const std::uint64_t process = m_daemons[daemon] ? m_daemons[daemon]->process + 1 : 1;
    m_daemons[daemon] = std::make_unique<Daemon>(*this, daemon, process);
}

void EmulatedStreams::restartDaemon(std::size_t daemon)
{
    m_fleet.start(daemon);
    startDaemon(daemon);
}

void EmulatedStreams::killDaemon(std::size_t daemon)
{
    m_fleet.kill(daemon);
    m_daemons[daemon]->isAlive = false;
}

void EmulatedStreams::setFrozen(std::size_t daemon, bool frozen)
{
    m_fleet.setFrozen(daemon, frozen);
    m_daemons[daemon]->isFrozen = frozen;
}

bool EmulatedStreams::isUp(std::size_t daemon) const
{
    return m_daemons[daemon]->isAlive && !m_daemons[daemon]->isFrozen;
}

std::size_t EmulatedStreams::remembered(std::size_t daemon) const
{
    return m_daemons[daemon]->exchange.remembered();
}

void EmulatedStreams::run(Duration time)
{
    m_fleet.run(time, [this] { step(); });
}

void EmulatedStreams::breakStream(std::uint64_t exchange, Stream &stream)
{
    Daemon &daemon = *m_daemons[*stream.daemon];
    if (daemon.process == stream.process && daemon.isAlive)
        daemon.exchange.end(ExchangeId(exchange));
    stream.daemon.reset();
    stream.isAsking = false;
    stream.attempts = 0;
    stream.nextAttempt = m_fleet.now() + CallerPause;
    ++m_counts.takenUp;
}

void EmulatedStreams::resetCallers(std::size_t daemon)
{
    for (auto &[exchange, stream] : m_streams) {
        if (stream.daemon == daemon && !stream.isAsking)
            breakStream(exchange, stream);
    }
}

void EmulatedStreams::step()
{
    const Instant now = m_fleet.now();
    for (const std::unique_ptr<Daemon> &daemon : m_daemons) {
        const std::optional<Instant> next = daemon->exchange.nextReview();
        if (isUp(daemon->index) && next && *next <= now)
            daemon->exchange.reviewQueries(now);
    }
    if (now - m_lastReview >= ReviewInterval) {
        m_lastReview = now;
        for (const std::unique_ptr<Daemon> &daemon : m_daemons) {
            if (!isUp(daemon->index))
                continue;
            std::vector<LiveDaemon> live;
            for (const std::size_t other : m_fleet.heardBy(daemon->index))
                live.push_back({EmulatedLimits::peerOf(other), m_daemons[other]->process});
            daemon->exchange.review(live, m_fleet.knowsFleet(daemon->index), now);
        }
    }
    beginStreams();
    for (auto at = m_streams.begin(); at != m_streams.end();) {
        auto &[exchange, stream] = *at;
        const bool isGone = stream.daemon
            && (!m_daemons[*stream.daemon]->isAlive
                || m_daemons[*stream.daemon]->process != stream.process);
        if (isGone && stream.isAsking) {
            stream.daemon.reset();
            stream.isAsking = false;
            stream.nextAttempt = now + CallerPause;
        } else if (isGone) {
            breakStream(exchange, stream);
        }
        const bool hasEnded = stream.ends <= now && stream.daemon && !stream.isAsking;
        const bool isGivenUp = !stream.daemon && stream.attempts >= Resumptions;
        if (hasEnded && isUp(*stream.daemon))
            m_daemons[*stream.daemon]->exchange.end(ExchangeId(exchange));
        if (hasEnded || isGivenUp) {
            at = m_streams.erase(at);
            continue;
        }
        ++at;
    }
    std::vector<std::uint64_t> due;
    for (const auto &[exchange, stream] : m_streams) {
        if (!stream.daemon && stream.nextAttempt <= now)
            due.push_back(exchange);
    }
    for (const std::uint64_t exchange : due)
        takeUp(exchange, m_streams.at(exchange));
}

void EmulatedStreams::beginStreams()
{
    const Instant now = m_fleet.now();
    for (m_due += m_perSecond / 1000; m_due >= 1; --m_due) {
        const std::size_t daemon = m_fleet.random.next() % m_daemons.size();
        if (!isUp(daemon))
            continue;
        Stream stream;
        stream.number = m_fleet.random.next();
        const std::uint64_t version = m_release + m_fleet.random.next() % Versions;
        stream.origin = {1, TargetVersion("v" + std::to_string(version))};
        stream.ends = now + ShortestStream
            + std::chrono::duration_cast<Duration>(LongestStream * uniform());
        stream.daemon = daemon;
        stream.process = m_daemons[daemon]->process;
        const std::uint64_t exchange = ++m_lastExchange;
        m_daemons[daemon]->exchange.begin(ExchangeId(exchange), stream.number, stream.origin,
                                          Lifetime, now);
        m_streams.emplace(exchange, stream);
        ++m_counts.streams;
    }
}

void EmulatedStreams::takeUp(std::uint64_t exchange, Stream &stream)
{
    const std::size_t daemon = m_fleet.random.next() % m_daemons.size();
    // A caller tells at once that a daemon is gone, and tries another one.
    if (!isUp(daemon)) {
        stream.nextAttempt = m_fleet.now() + CallerPause;
        return;
    }
    ++stream.attempts;
    stream.daemon = daemon;
    stream.process = m_daemons[daemon]->process;
    stream.isAsking = true;
    const std::optional<StreamOriginDecision> decision
        = m_daemons[daemon]->exchange.find(ExchangeId(exchange), stream.number, m_fleet.now());
    if (decision)
        onDecided(daemon, exchange, *decision);
}

void EmulatedStreams::onDecided(std::size_t daemon, std::uint64_t exchange,
                                const StreamOriginDecision &decision)
{
    const auto found = m_streams.find(exchange);
    if (found == m_streams.end() || found->second.daemon != daemon || !found->second.isAsking)
        return;
    Stream &stream = found->second;
    stream.isAsking = false;
    if (!decision.origin) {
        stream.daemon.reset();
        stream.nextAttempt = m_fleet.now() + CallerPause;
        return;
    }
    ++m_counts.wentOn;
    m_counts.mixed += *decision.origin != stream.origin ? 1 : 0;
    m_daemons[daemon]->exchange.begin(ExchangeId(exchange), stream.number, *decision.origin,
                                      Lifetime, m_fleet.now());
}

} // namespace Apricothook
