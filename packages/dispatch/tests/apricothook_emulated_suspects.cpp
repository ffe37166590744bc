#include <apricothook_emulated_suspects.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <limits>

namespace Apricothook {

namespace {

/** Attempts of one request, as a route allows them. */
constexpr unsigned MaximumAttempts = 3;
/** How long a request runs, whether it ends with an answer or with a crash. */
constexpr std::chrono::milliseconds RunTime {90};
/** When a request that is answered begins to be. */
constexpr std::chrono::milliseconds AnswerTime {60};
constexpr std::chrono::milliseconds HoldInterval {25};
constexpr std::chrono::milliseconds LongestHold {500};
constexpr std::chrono::milliseconds ReviewInterval {200};
constexpr std::chrono::milliseconds ShortestRestart {30};

/** The service of all targets. */
const ServiceId &service()
{
    static const ServiceId name("service");
    return name;
}

} // namespace

struct EmulatedSuspects::Daemon : private SuspectListener, private PermitListener
{
    Daemon(EmulatedSuspects &fleet, std::size_t index)
        : fleet(fleet)
        , index(index)
        , announcer(EmulatedLimits::peerOf(index), fleet.m_fleet.limits(index).ranking(),
                    fleet.m_fleet.messenger(index), fleet.m_fleet.random, *this)
        , permits(EmulatedLimits::peerOf(index), fleet.m_fleet.messenger(index),
                  fleet.m_fleet.random, *this, announcer)
        , losses(fleet.now())
    {
    }

    PermitNeeds needs(const RequestTraits &request) const
    {
        return permits.needs(request, service(), losses, fleet.now());
    }
    void onPermitDecided(ExchangeId exchange, const PermitDecision &decision) override
    {
        const auto found = awaitingPermit.find(exchange);
        if (found == awaitingPermit.end())
            return;
        const Attempt attempt = found->second;
        awaitingPermit.erase(found);
        fleet.onPermitDecided(index, attempt, decision);
    }
    void onPermitExpired(const ExpiredPermit &) override { }
    void onSuspectChanged(std::uint64_t request, const TrialDecision &decision, bool) override
    {
        if (decision.crashes > 0)
            permits.permits().recordCrash(request);
        fleet.m_fleet.limits(index).setBudget(
            request, announcer.traits().budget(request, fleet.now()), fleet.now());
    }

    EmulatedSuspects &fleet;
    const std::size_t index;
    SuspectAnnouncer announcer;
    RequestPermits permits;
    ServiceLosses losses;
    std::uint64_t incarnation = 0;
    std::map<ExchangeId, Attempt> awaitingPermit;
    /** Requests that wait for a unit of their trials. */
    std::map<std::uint64_t, Attempt> awaitingUnit;
    bool isAlive = true;
    bool isFrozen = false;
    bool isCutOff = false;
    std::optional<Instant> reunited;
};

EmulatedSuspects::EmulatedSuspects(std::size_t daemons, std::size_t targets, std::uint64_t seed)
    : m_fleet(daemons, {}, FleetBounds(), seed), m_targets(targets)
{
    for (Target &target : m_targets)
        target.instance = ++m_lastInstance;
    m_daemons.resize(daemons);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        startDaemon(daemon, true);
    m_fleet.onExchangeDecided
        = [this](std::size_t daemon, std::uint64_t exchange, const LimitDecision &decision) {
              Daemon &node = *m_daemons[daemon];
              const auto found = node.awaitingUnit.find(exchange);
              if (found == node.awaitingUnit.end())
                  return;
              const Attempt attempt = found->second;
              node.awaitingUnit.erase(found);
              onUnitDecided(daemon, attempt, decision);
          };
    m_fleet.onSuspectMessage = [this](std::size_t daemon, const LimitMessage &message) {
        SuspectAnnouncer &announcer = m_daemons[daemon]->announcer;
        SendPermits &permits = m_daemons[daemon]->permits.permits();
        if (const auto *notice = std::get_if<CrashNotice>(&message))
            announcer.take(*notice, now());
        else if (const auto *query = std::get_if<SuspectQuery>(&message))
            announcer.take(*query, now());
        else if (const auto *reply = std::get_if<SuspectReply>(&message))
            announcer.take(*reply, now());
        else if (const auto *asked = std::get_if<PermitRequest>(&message))
            permits.take(*asked, now());
        else if (const auto *answer = std::get_if<PermitReply>(&message))
            permits.take(*answer, now());
        else
            permits.take(std::get<PermitReport>(message), now());
    };
    m_fleet.onUnitsRequest = [this](std::size_t daemon, const Endpoint &to, std::uint64_t limit) {
        m_daemons[daemon]->announcer.inform(to, limit, now());
    };
}

EmulatedSuspects::~EmulatedSuspects() = default;

double EmulatedSuspects::uniform()
{
    return static_cast<double>(m_fleet.random.next())
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t EmulatedSuspects::addRequest(double perSecond, bool crashes)
{
    Request &request = m_requests[++m_lastRequest];
    request.perSecond = perSecond;
    request.isCrashing = crashes;
    return m_lastRequest;
}

std::uint64_t EmulatedSuspects::addFresh(double perSecond, const std::vector<std::uint64_t> &parts)
{
    const std::uint64_t request = addRequest(perSecond, false);
    m_requests[request].isFresh = true;
    m_requests[request].parts = parts;
    return request;
}

void EmulatedSuspects::setCrashingPart(std::uint64_t part, bool crashes)
{
    if (crashes)
        m_crashingParts.insert(part);
    else
        m_crashingParts.erase(part);
}

std::uint64_t EmulatedSuspects::contentOf(std::uint64_t number, const Request &request)
{
    return traitNumber(TraitKind::Content,
                       request.isFresh ? hashOf("arrival", ++m_lastArrival)
                                       : hashOf("request", number));
}

RequestTraits EmulatedSuspects::traitsOf(std::uint64_t number, std::uint64_t content) const
{
    const Request &request = m_requests.at(number);
    RequestTraits traits {content, {}, request.customer};
    for (const std::uint64_t part : request.parts)
        traits.parts.push_back(traitNumber(TraitKind::PromptPart, hashOf("part", part)));
    return traits;
}

bool EmulatedSuspects::crashesTargets(const Request &request) const
{
    return request.isCrashing || std::ranges::any_of(request.parts, [&](std::uint64_t part) {
               return m_crashingParts.contains(part);
           });
}

void EmulatedSuspects::setCrashing(std::uint64_t request, bool crashes)
{
    m_requests[request].isCrashing = crashes;
}

void EmulatedSuspects::startDaemon(std::size_t daemon, bool isFirstStart)
{
    const std::uint64_t incarnation = m_daemons[daemon] ? m_daemons[daemon]->incarnation + 1 : 1;
    m_daemons[daemon] = std::make_unique<Daemon>(*this, daemon);
    m_daemons[daemon]->incarnation = incarnation;
    m_daemons[daemon]->announcer.joinFleet(now(), isFirstStart);
}

void EmulatedSuspects::restartDaemon(std::size_t daemon)
{
    m_fleet.start(daemon);
    startDaemon(daemon, false);
}

void EmulatedSuspects::killDaemon(std::size_t daemon)
{
    m_fleet.kill(daemon);
    m_daemons[daemon]->isAlive = false;
}

void EmulatedSuspects::setFrozen(std::size_t daemon, bool frozen)
{
    m_fleet.setFrozen(daemon, frozen);
    m_daemons[daemon]->isFrozen = frozen;
}

void EmulatedSuspects::setCutOff(const std::vector<std::size_t> &daemons, bool isCut)
{
    for (const std::size_t daemon : daemons) {
        m_daemons[daemon]->isCutOff = isCut;
        m_daemons[daemon]->reunited = now();
    }
}

bool EmulatedSuspects::isActive(std::size_t daemon, std::uint64_t incarnation) const
{
    return m_daemons[daemon]->isAlive && m_daemons[daemon]->incarnation == incarnation;
}

void EmulatedSuspects::run(Duration time)
{
    m_fleet.run(time, [this] { step(); });
}

void EmulatedSuspects::step()
{
    for (Target &target : m_targets) {
        if (!target.isUp && target.restart <= now()) {
            target.isUp = true;
            target.instance = ++m_lastInstance;
            for (const std::unique_ptr<Daemon> &daemon : m_daemons)
                daemon->losses.recordLoss(service(), now());
        }
    }
    updateLists();
    for (const std::unique_ptr<Daemon> &daemon : m_daemons) {
        const std::optional<Instant> next = daemon->permits.permits().nextReview();
        if (daemon->isAlive && !daemon->isFrozen && next && *next <= now())
            daemon->permits.permits().reviewQueries(now());
    }
    endRuns();
    noticeCrashes();
    releaseHeld();
    arriveFromCallers();
    if (now() - m_lastReview < ReviewInterval)
        return;
    m_lastReview = now();
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        Daemon &node = *m_daemons[daemon];
        if (!node.isAlive || node.isFrozen)
            continue;
        std::vector<LiveDaemon> live;
        for (const std::size_t other : m_fleet.heardBy(daemon))
            live.push_back({EmulatedLimits::peerOf(other), m_daemons[other]->incarnation});
        node.announcer.review(live, m_fleet.knowsFleet(daemon), now());
        node.permits.permits().review(live, 2 * live.size() >= m_daemons.size(), now());
    }
}

void EmulatedSuspects::updateLists()
{
    bool isChanged = false;
    for (; !m_lapses.empty() && m_lapses.front() <= now(); m_lapses.pop())
        isChanged = true;
    for (const std::unique_ptr<Daemon> &daemon : m_daemons) {
        if (isChanged)
            daemon->losses.recordLoss(service(), now());
    }
}

void EmulatedSuspects::arriveFromCallers()
{
    for (auto &[number, request] : m_requests) {
        for (request.due += request.perSecond / 1000; request.due >= 1; --request.due) {
            const std::size_t daemon = m_fleet.random.next() % m_daemons.size();
            if (m_daemons[daemon]->isAlive && !m_daemons[daemon]->isFrozen)
                handle(daemon, {number, contentOf(number, request), 0, {}, 0});
        }
    }
}

void EmulatedSuspects::handle(std::size_t daemon, const Attempt &attempt)
{
    Daemon &node = *m_daemons[daemon];
    const RequestTraits traits = traitsOf(attempt.request, attempt.content);
    const TrialDecision suspicion = node.announcer.decide(traits, now());
    switch (suspicion.verdict) {
    case TrialVerdict::Clear:
        if (node.needs(traits).isEmpty())
            send(daemon, attempt, {});
        else
            acquirePermit(daemon, attempt);
        return;
    case TrialVerdict::MayBeTried: {
        const auto up = std::ranges::count(m_targets, true, &Target::isUp);
        if (!suspicion.mayRisk(static_cast<std::size_t>(up), m_targets.size())) {
            m_requests[attempt.request].refused.push_back(now());
            return;
        }
        const std::uint64_t exchange = m_fleet.random.next();
        Attempt trial = attempt;
        trial.trait = suspicion.trait;
        node.awaitingUnit.emplace(exchange, trial);
        m_fleet.take(daemon, exchange,
                     {.limit = trial.trait,
                      .budget = trialBudget(),
                      .demand = {1, 0},
                      .longestWait = FleetRateLimiter::LongestWait});
        return;
    }
    case TrialVerdict::TrialRunning:
    case TrialVerdict::InFlight:
    case TrialVerdict::Unknown:
        hold(daemon, attempt, suspicion);
        return;
    case TrialVerdict::Quarantined:
        m_requests[attempt.request].refused.push_back(now());
        return;
    }
}

void EmulatedSuspects::onUnitDecided(std::size_t daemon, const Attempt &attempt,
                                     const LimitDecision &decision)
{
    Daemon &node = *m_daemons[daemon];
    const TrialDecision suspicion
        = node.announcer.decide(traitsOf(attempt.request, attempt.content), now());
    const bool isOther
        = suspicion.verdict == TrialVerdict::MayBeTried && suspicion.trait != attempt.trait;
    if (decision.isAdmitted && (isOther || suspicion.verdict != TrialVerdict::MayBeTried))
        m_fleet.limits(daemon).giveBack(attempt.trait, 1, now());
    if (suspicion.verdict == TrialVerdict::Clear || isOther)
        handle(daemon, attempt);
    else if (suspicion.verdict == TrialVerdict::MayBeTried && decision.isAdmitted)
        send(daemon, attempt, {node.announcer.startTrial(attempt.trait, now()), {}});
    else if (suspicion.verdict == TrialVerdict::TrialRunning)
        hold(daemon, attempt, suspicion);
    else
        m_requests[attempt.request].refused.push_back(now());
}

void EmulatedSuspects::acquirePermit(std::size_t daemon, const Attempt &attempt)
{
    Daemon &node = *m_daemons[daemon];
    const ExchangeId exchange(m_fleet.random.next());
    node.awaitingPermit.emplace(exchange, attempt);
    const std::optional<PermitDecision> decision = node.permits.acquire(
        exchange, node.needs(traitsOf(attempt.request, attempt.content)), RunTime, now());
    if (!decision)
        return;
    node.awaitingPermit.erase(exchange);
    onPermitDecided(daemon, attempt, *decision);
}

void EmulatedSuspects::onPermitDecided(std::size_t daemon, const Attempt &attempt,
                                       const PermitDecision &decision)
{
    Daemon &node = *m_daemons[daemon];
    TrialDecision suspicion
        = node.announcer.decide(traitsOf(attempt.request, attempt.content), now());
    const bool isClear = suspicion.verdict == TrialVerdict::Clear;
    if (decision.outcome == PermitOutcome::Granted && isClear) {
        send(daemon, attempt, {std::nullopt, decision.permit});
        return;
    }
    node.permits.permits().report(decision.permit, PermitUse::Unused, 0, now());
    if (isClear)
        suspicion.retryAfter = decision.retryAfter;
    hold(daemon, attempt, suspicion);
}

void EmulatedSuspects::hold(std::size_t daemon, Attempt attempt, const TrialDecision &suspicion)
{
    if (attempt.held >= LongestHold) {
        m_requests[attempt.request].refused.push_back(now());
        return;
    }
    const Duration wait = std::min<Duration>(suspicion.retryAfter, HoldInterval);
    attempt.held += std::max<Duration>(wait, std::chrono::milliseconds(1));
    m_held.push({now() + wait, daemon, m_daemons[daemon]->incarnation, attempt});
}

void EmulatedSuspects::releaseHeld()
{
    while (!m_held.empty() && m_held.top().until < now()) {
        const Held held = m_held.top();
        m_held.pop();
        if (isActive(held.daemon, held.incarnation) && !m_daemons[held.daemon]->isFrozen)
            handle(held.daemon, held.attempt);
    }
}

void EmulatedSuspects::giveBack(std::size_t daemon, const Attempt &attempt,
                                const Permission &permission)
{
    Daemon &node = *m_daemons[daemon];
    if (permission.trial) {
        node.announcer.withdrawTrial(attempt.trait, *permission.trial, now());
        m_fleet.limits(daemon).giveBack(attempt.trait, 1, now());
    }
    if (permission.permit)
        node.permits.permits().report(*permission.permit, PermitUse::Unused, 0, now());
}

void EmulatedSuspects::send(std::size_t daemon, const Attempt &attempt,
                            const Permission &permission)
{
    std::vector<std::size_t> up;
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        if (m_targets[target].isUp)
            up.push_back(target);
    }
    Request &request = m_requests[attempt.request];
    if (up.empty()) {
        giveBack(daemon, attempt, permission);
        request.refused.push_back(now());
        return;
    }
    const std::size_t target = up[m_fleet.random.next() % up.size()];
    const Daemon &node = *m_daemons[daemon];
    const bool isInTouch
        = !node.isCutOff && (!node.reunited || now() - *node.reunited > ReunionTime);
    if (isInTouch)
        request.arrived.push_back(now());
    m_runs.push_back({now() + RunTime, attempt.request, attempt.content, attempt.trait, daemon,
                      m_daemons[daemon]->incarnation, target, m_targets[target].instance, now(),
                      permission.trial, permission.permit, attempt.attempts + 1});
}

void EmulatedSuspects::endRuns()
{
    std::vector<Run> ended;
    std::erase_if(m_runs, [&](const Run &run) {
        if (run.ends <= now())
            ended.push_back(run);
        return run.ends <= now();
    });
    for (const Run &run : ended) {
        const bool isLost
            = !m_targets[run.target].isUp || m_targets[run.target].instance != run.instance;
        Request &request = m_requests[run.request];
        if (isLost)
            continue;
        if (crashesTargets(request)) {
            request.crashed.push_back(now());
            m_runs.push_back(run);
            crash(run.target);
            continue;
        }
        Daemon &node = *m_daemons[run.daemon];
        if (!isActive(run.daemon, run.incarnation) || node.isFrozen)
            continue;
        request.answered.push_back(now());
        if (run.permit)
            node.permits.permits().report(*run.permit, PermitUse::Sound, run.instance, now());
        const RequestTraits traits = traitsOf(run.request, run.content);
        node.announcer.recordAnswer(traits.content, run.sent, now());
        for (const std::uint64_t part : traits.parts)
            node.announcer.recordAnswer(part, run.sent + AnswerTime, now());
    }
}

void EmulatedSuspects::crash(std::size_t target)
{
    Target &crashed = m_targets[target];
    if (!crashed.isUp)
        return;
    crashed.isUp = false;
    const auto delay = std::chrono::duration_cast<Duration>(m_longestRestart * uniform());
    m_lapses.push(now() + LapseTime);
    crashed.restart = now() + std::max<Duration>(delay, ShortestRestart);
    std::vector<Run> lost;
    std::erase_if(m_runs, [&](const Run &run) {
        if (run.target == target && run.instance == crashed.instance)
            lost.push_back(run);
        return run.target == target && run.instance == crashed.instance;
    });
    for (const Run &run : lost) {
        if (!isActive(run.daemon, run.incarnation))
            continue;
        m_notices.push({now() + DetectionTime, run, now()});
        Daemon &node = *m_daemons[run.daemon];
        node.losses.recordDrop(service(), now());
        if (run.permit)
            node.permits.permits().report(*run.permit, PermitUse::Lost, run.instance, now());
        // The daemon sends it again before it knows why it was lost.
        if (!run.trial && run.attempts < MaximumAttempts)
            m_held.push({now(),
                         run.daemon,
                         run.incarnation,
                         {run.request, run.content, run.attempts, {}, 0}});
    }
}

void EmulatedSuspects::crashTargets(const std::vector<std::size_t> &targets)
{
    for (const std::size_t target : targets)
        crash(target);
}

void EmulatedSuspects::noticeCrashes()
{
    std::vector<Notice> deferred;
    while (!m_notices.empty() && m_notices.top().at <= now()) {
        const Notice notice = m_notices.top();
        m_notices.pop();
        Daemon &node = *m_daemons[notice.run.daemon];
        if (!isActive(notice.run.daemon, notice.run.incarnation))
            continue;
        if (node.isFrozen) {
            deferred.push_back(notice);
            continue;
        }
        const RequestTraits traits = traitsOf(notice.run.request, notice.run.content);
        node.losses.recordLoss(service(), now());
        node.announcer.recordCrash(traits.content, notice.run.instance, notice.crashed, now());
        for (const std::uint64_t part : traits.parts)
            node.announcer.recordCrash(part, notice.run.instance, notice.crashed, now(),
                                       traits.customer);
        node.permits.permits().conclude(traits.content, notice.run.instance, true, notice.crashed,
                                        now());
    }
    for (const Notice &notice : deferred)
        m_notices.push(notice);
}

std::size_t EmulatedSuspects::crashes(std::uint64_t request) const
{
    return m_requests.at(request).crashed.size();
}

std::size_t EmulatedSuspects::mostSendsAfterThirdCrash(std::uint64_t request, Duration spread) const
{
    constexpr std::size_t Third = 3;
    return sendsAfterCrash(request, Third, spread);
}

Instant EmulatedSuspects::crashTime(std::uint64_t request, std::size_t crash) const
{
    return m_requests.at(request).crashed.at(crash - 1);
}

std::size_t EmulatedSuspects::sendsAfterCrash(std::uint64_t request, std::size_t crash,
                                              Duration spread) const
{
    const Request &one = m_requests.at(request);
    if (one.crashed.size() < crash)
        return 0;
    std::vector<Instant> late;
    std::ranges::copy_if(one.arrived, std::back_inserter(late),
                         [&](Instant at) { return at > one.crashed[crash - 1] + spread; });
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < late.size(); ++last) {
        while (late[last] - late[first] >= SuspectTraits::TrialWindow)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::size_t EmulatedSuspects::sendsSince(std::uint64_t request, Instant time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_requests.at(request).arrived, [time](Instant at) { return at >= time; }));
}

std::size_t EmulatedSuspects::answeredSince(std::uint64_t request, Instant time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_requests.at(request).answered, [time](Instant at) { return at >= time; }));
}

std::size_t EmulatedSuspects::refusedSince(std::uint64_t request, Instant time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_requests.at(request).refused, [time](Instant at) { return at >= time; }));
}

} // namespace Apricothook
