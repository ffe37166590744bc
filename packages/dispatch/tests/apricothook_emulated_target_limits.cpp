#include <apricothook_emulated_target_limits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <limits>

namespace Apricothook {

namespace {

/** Requests that wait at one daemon; further callers are told to come back later. */
constexpr std::size_t LongestQueue = 4;
constexpr std::chrono::milliseconds LongestUnitWait {50};
constexpr std::chrono::milliseconds ShortestService {20};
constexpr std::chrono::milliseconds ServiceSpread {300};
/** Time after which a daemon that has learned a limit must keep to it. */
constexpr std::chrono::milliseconds InformedTime {500};
/** Time in which a limit, or a lower one, becomes known to all daemons. */
constexpr std::chrono::seconds SpreadTime {1};

std::uint64_t targetOf(std::uint64_t instance)
{
    return hashOf("target", instance);
}

} // namespace

struct EmulatedTargetLimits::Daemon : private TargetLimitListener
{
    Daemon(EmulatedTargetLimits &fleet, std::size_t index)
        : fleet(fleet)
        , index(index)
        , announcer(TargetLimitKind::Requests, EmulatedLimits::addressOf(index),
                    fleet.m_fleet.messenger(index), *this)
    {
    }

    void onTargetLimitChanged(TargetLimitKind, std::uint64_t target, TargetLimitChange,
                              TargetLimitOrigin) override
    {
        fleet.m_fleet.limits(index).setBudgets(announcer.limits().budgets(FleetBounds()),
                                               fleet.now());
        heldUntil = {};
        if (target == targetOf(fleet.m_target) && announcer.limits().perSecond(target))
            informedSince = std::min(informedSince.value_or(fleet.now()), fleet.now());
        else
            informedSince.reset();
    }

    EmulatedTargetLimits &fleet;
    const std::size_t index;
    TargetLimitAnnouncer announcer;
    std::optional<Instant> informedSince;
    std::uint64_t incarnation = 0;
    std::size_t pending = 0;
    bool awaitsUnit = false;
    Instant heldUntil {};
    bool isCutOff = false;
    bool isAlive = true;
    bool isFrozen = false;
};

EmulatedTargetLimits::EmulatedTargetLimits(std::size_t daemons, std::uint64_t seed)
    : m_fleet(daemons, {}, FleetBounds(), seed)
{
    m_daemons.resize(daemons);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        startDaemon(daemon);
    m_fleet.onDecided = [this](std::size_t index, const LimitDecision &decision) {
        Daemon &daemon = *m_daemons[index];
        daemon.awaitsUnit = false;
        if (decision.isAdmitted)
            arrive(index);
        else
            daemon.heldUntil = now()
                + std::clamp<Duration>(decision.retryAfter, FleetRateLimiter::PendingPause,
                                       std::chrono::seconds(1));
    };
    m_fleet.onNotice = [this](std::size_t index, const TargetLimitNotice &notice) {
        m_daemons[index]->announcer.take(notice, now());
    };
    m_fleet.onUnitsRequest = [this](std::size_t index, const Endpoint &to, std::uint64_t limit) {
        m_daemons[index]->announcer.inform(to, limit, now());
    };
}

EmulatedTargetLimits::~EmulatedTargetLimits() = default;

double EmulatedTargetLimits::uniform()
{
    return static_cast<double>(m_fleet.random.next())
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void EmulatedTargetLimits::startDaemon(std::size_t daemon)
{
    const std::uint64_t incarnation = m_daemons[daemon] ? m_daemons[daemon]->incarnation + 1 : 1;
    m_daemons[daemon] = std::make_unique<Daemon>(*this, daemon);
    m_daemons[daemon]->incarnation = incarnation;
}

void EmulatedTargetLimits::restartDaemon(std::size_t daemon)
{
    m_fleet.start(daemon);
    startDaemon(daemon);
}

void EmulatedTargetLimits::killDaemon(std::size_t daemon)
{
    m_fleet.kill(daemon);
    m_daemons[daemon]->isAlive = false;
}

void EmulatedTargetLimits::setFrozen(std::size_t daemon, bool frozen)
{
    m_fleet.setFrozen(daemon, frozen);
    m_daemons[daemon]->isFrozen = frozen;
}

void EmulatedTargetLimits::setCutOffFromTarget(std::size_t daemon, bool isCut)
{
    m_daemons[daemon]->isCutOff = isCut;
}

void EmulatedTargetLimits::setLimit(std::optional<double> perSecond)
{
    m_limits.push_back({targetOf(m_target), perSecond, now()});
}

void EmulatedTargetLimits::restartTarget()
{
    setLimit(std::nullopt);
    ++m_target;
    for (const auto &daemon : m_daemons)
        daemon->informedSince.reset();
}

void EmulatedTargetLimits::run(Duration time, double requestsPerSecond)
{
    m_fleet.run(time, [this, requestsPerSecond] { step(requestsPerSecond); });
}

void EmulatedTargetLimits::step(double requestsPerSecond)
{
    deliverAnswers();
    for (m_due += requestsPerSecond / 1000; m_due >= 1; --m_due) {
        const std::size_t count = m_callers.empty() ? m_daemons.size() : m_callers.size();
        const std::size_t drawn = m_fleet.random.next() % count;
        Daemon &daemon = *m_daemons[m_callers.empty() ? drawn : m_callers[drawn]];
        daemon.pending = std::min(daemon.pending + 1, LongestQueue);
    }
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        sendPending(daemon);
}

void EmulatedTargetLimits::sendPending(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    if (!daemon.isAlive || daemon.isFrozen)
        return;
    while (daemon.pending > 0 && !daemon.awaitsUnit && daemon.heldUntil <= now()) {
        const std::uint64_t target = targetOf(m_target);
        const std::optional<double> perSecond = daemon.announcer.limits().perSecond(target);
        if (!perSecond) {
            arrive(index);
            continue;
        }
        daemon.awaitsUnit = true;
        m_fleet.take(index, ++m_lastExchange,
                     {.limit = target,
                      .budget = targetBudget(*perSecond, FleetBounds()),
                      .demand = {1, 0},
                      .longestWait = LongestUnitWait});
    }
}

void EmulatedTargetLimits::arrive(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    daemon.pending -= std::min<std::size_t>(daemon.pending, 1);
    if (daemon.isCutOff)
        return;
    const bool isInformed = daemon.informedSince && now() - *daemon.informedSince >= InformedTime;
    const std::uint64_t target = targetOf(m_target);
    m_arrivals.push_back({now(), target, isInformed});
    const auto isCurrent = [&](const NamedLimit &limit) { return limit.target == target; };
    const auto named = std::ranges::find_if(m_limits.rbegin(), m_limits.rend(), isCurrent);
    const auto service = std::chrono::duration_cast<Duration>(ServiceSpread * uniform());
    m_answers.push({now() + ShortestService + service, index, daemon.incarnation, target,
                    named == m_limits.rend() ? std::nullopt : named->perSecond, now()});
}

void EmulatedTargetLimits::deliverAnswers()
{
    std::vector<Answer> deferred;
    while (!m_answers.empty() && m_answers.top().at <= now()) {
        const Answer answer = m_answers.top();
        m_answers.pop();
        Daemon &daemon = *m_daemons[answer.daemon];
        if (!daemon.isAlive || daemon.incarnation != answer.incarnation || daemon.isCutOff)
            continue;
        if (daemon.isFrozen) {
            deferred.push_back(answer);
            continue;
        }
        daemon.announcer.observe({answer.target, answer.perSecond, answer.sent, now()});
    }
    for (const Answer &answer : deferred)
        m_answers.push(answer);
}

std::size_t EmulatedTargetLimits::informed() const
{
    constexpr double Unlimited = 0;
    const double named = m_limits.back().perSecond.value_or(Unlimited);
    return static_cast<std::size_t>(std::ranges::count_if(m_daemons, [&](const auto &daemon) {
        const TargetLimits &limits = daemon->announcer.limits();
        return daemon->isAlive && limits.perSecond(targetOf(m_target)).value_or(Unlimited) == named;
    }));
}

std::size_t EmulatedTargetLimits::arrivedSince(Instant time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_arrivals, [time](const Arrival &arrival) { return arrival.at >= time; }));
}

double EmulatedTargetLimits::allowed(std::uint64_t target, Instant until) const
{
    const FleetBounds bounds;
    const Instant begin = until - bounds.targetLimitWindow;
    double requests = 0;
    for (auto limit = m_limits.begin(); limit != m_limits.end(); ++limit) {
        if (limit->target != target)
            continue;
        const auto next = std::next(limit);
        const bool isLast = next == m_limits.end() || next->target != target;
        constexpr double Unlimited = std::numeric_limits<double>::infinity();
        const double perSecond = limit->perSecond.value_or(Unlimited);
        const bool isLowered = !isLast && next->perSecond.value_or(Unlimited) < perSecond;
        const Instant end
            = isLast ? until : next->since + (isLowered ? Duration(SpreadTime) : Duration());
        const std::chrono::duration<double> time
            = std::min(until, end) - std::max(begin, limit->since);
        requests += time.count() > 0 ? perSecond * time.count() : 0;
    }
    return requests * (1 + bounds.targetLimitOvershoot) + bounds.targetLimitSlack;
}

double EmulatedTargetLimits::worstRatio() const
{
    double worst = 0;
    std::size_t first = 0;
    std::size_t count = 0;
    for (const Arrival &last : m_arrivals) {
        count += last.isFromInformed ? 1 : 0;
        while (last.at - m_arrivals[first].at > FleetBounds().targetLimitWindow
               || m_arrivals[first].target != last.target)
            count -= m_arrivals[first++].isFromInformed ? 1 : 0;
        worst = std::max(worst, static_cast<double>(count) / allowed(last.target, last.at));
    }
    return worst;
}

} // namespace Apricothook
