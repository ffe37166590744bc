#include <apricothook/gateway/apricothook_gateway.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Time for which a target counts as brittle though no answer says so. */
constexpr std::chrono::seconds BrittlenessMemory {10};

} // namespace

Gateway::Gateway(EventLoop &loop, const WireProtocol &protocol, RandomSource &random,
                 LogWriter &log, Metrics &metrics, const FleetBounds &bounds,
                 const DataCentreId &dataCentre, const PolicySwitches &policies,
                 const LimitPeer &self, const CallerResources &callers)
    : m_loop(loop)
    , m_bounds(bounds)
    , m_memory(loop, callers)
    , m_targets(dataCentre, policies, ColdTargetLimiter(self.member, bounds), self.member)
    , m_limits(self, *this, *this, *this, random)
    , m_targetLimits(TargetLimitKind::Requests, self.address, *this, *this)
    , m_targetRejections(TargetLimitKind::Rejections, self.address, *this, *this)
    , m_dispatcher(m_targets, *this, policies)
    , m_paths(loop, *this, dataCentre, random, log, self.address.address)
    , m_channels(loop, protocol, log, m_paths)
    , m_streams(loop, self, *this, log,
                [this](ExchangeId exchange, const StreamOriginDecision &decision) {
                    onOriginDecided(exchange, decision);
                })
    , m_unnamedStreams(loop,
                       [this](ExchangeId exchange, const StreamOriginDecision &decision) {
                           onOriginDecided(exchange, decision);
                       })
    , m_suspects(loop, self, m_limits.ranking(), *this, random, log,
                 {.budgetChanged = [this](std::uint64_t request) { updateTrialBudget(request); },
                  .permitDecided =
                      [this](ExchangeId exchange, const PermitDecision &decision) {
                          onPermitDecided(exchange, decision);
                      }})
    , m_crashDetector(loop, *this, [this](const TargetEntry &target) { m_paths.inquire(target); })
    , m_context {.loop = loop,
                 .protocol = protocol,
                 .random = random,
                 .log = log,
                 .metrics = metrics,
                 .memory = m_memory,
                 .bounds = m_bounds,
                 .policies = policies,
                 .targets = m_targets,
                 .dispatcher = m_dispatcher,
                 .paths = m_paths,
                 .channels = m_channels,
                 .limits = m_limits,
                 .targetLimits = m_targetLimits.limits(),
                 .crashDetector = m_crashDetector,
                 .streams = m_streams,
                 .unnamedStreams = m_unnamedStreams,
                 .suspectGuard = &m_suspects,
                 .routes = nullptr,
                 .members = 1,
                 .fleetSize = std::nullopt,
                 .refusesNewRequests = false,
                 .shutdownAt = std::nullopt,
                 .started = loop.now(),
                 .retryBudgets = {},
                 .urgency = {},
                 .sizes = {},
                 .responseTimes = {},
                 .limitReserve = {},
                 .unitsRequested = [this] { scheduleLimitReview(); },
                 .deferLimitDecision =
                     [this](ExchangeId exchange, const LimitDecision &decision) {
                         m_loop.defer(
                             [this, exchange, decision] { onLimitDecided(exchange, decision); });
                     },
                 .targetLimitReported
                 = [this](TargetLimitKind kind,
                          const TargetLimitReport &report) { announcerOf(kind).observe(report); },
                 .targetFull = [this](const TargetInstance &target) { onTargetFull(target); },
                 .capacityFreed = [this] { scheduleReview(); }}
{
    m_limits.setFleet({{{self, 1, false}}, 1, true, std::nullopt}, loop.now());
    setFleetSize(1);
}

Gateway::~Gateway()
{
    m_loop.cancel(m_dispatchTimer);
    m_loop.cancel(m_limitTimer);
}

void Gateway::setLimitMessenger(LimitMessenger &messenger)
{
    m_limitMessenger = &messenger;
    m_limits.setFleet({{}, 1, false, std::nullopt}, m_loop.now());
    setFleetSize(std::nullopt);
    m_targets.setColdTargetSenders({});
    m_targets.setShareMembers({}, Duration::zero(), m_loop.now());
}

void Gateway::joinFleet(bool isFirstStart)
{
    m_suspects.joinFleet(isFirstStart);
    m_streams.joinFleet();
    if (isFirstStart)
        m_unnamedStreams.beginAtFirstStart();
}

Result<void, ListenError> Gateway::listen(const Endpoint &address)
{
    Result<std::unique_ptr<Listener>, ListenError> opened = Listener::open(
        m_loop, address, [this](int descriptor) { accept(descriptor); },
        [this](int errorNumber) {
            m_context.log.write(LogEvent(GatewayEvent::ConnectionsWait)
                                    .with("error", errorNumber)
                                    .with("connections", m_connections.size()));
        },
        m_memory.limits().buffers);
    if (!opened)
        return opened.error();
    m_listener = std::move(opened).value();
    return Outcomes::success();
}

void Gateway::connectionClosed(CallerConnection &connection)
{
    const auto found
        = std::ranges::find(m_connections, &connection, &std::unique_ptr<CallerConnection>::get);
    if (found == m_connections.end())
        return;
    // Called from a member function of the connection, so it is destroyed after the event.
    m_loop.defer([gone = std::shared_ptr<CallerConnection>(std::move(*found))] {});
    m_connections.erase(found);
}

void Gateway::setConfiguration(std::shared_ptr<const RouteTable> routes)
{
    const Instant now = m_loop.now();
    const Duration replaced = callerBounds().idleTimeout;
    const Duration longest = idleTimeout();
    m_context.routes = std::move(routes);
    if (callerBounds().idleTimeout < replaced)
        m_formerIdleTimeout = {longest, now + m_bounds.applyTimeout};
    updateBudgets();
    checkBodyLimit();
    m_unnamedStreams.setConfiguration(m_context.routes->configuration());
    m_targets.setServices(m_context.routes->configuration().services, now);
    m_targets.setGapObjectives(gapObjectivesOf(m_context.routes->configuration()));
}

void Gateway::putTarget(const TargetEntry &target)
{
    const TrackedTarget *known = m_targets.find(target.id);
    const TargetInstance previous = known ? known->entry.instance() : TargetInstance();
    const bool isRestarted = known && previous != target.instance();
    m_unnamedStreams.putTarget(known ? &known->entry : nullptr, target);
    m_targets.put(target, m_loop.now());
    if (!known || isRestarted)
        m_suspects.recordLoss(target.service);
    m_crashDetector.recordRegistered(target);
    const std::uint64_t number = targetHash(target.instance());
    m_targets.setLimit(number, m_targetLimits.limits().perSecond(number));
    m_targets.setBrittle(number, m_targetRejections.limits().perSecond(number));
    if (target.isDraining || isRestarted)
        m_channels.closeIdle(target.id);
    if (isRestarted) {
        m_paths.forget(previous);
        onTargetRestarted(target);
    }
    scheduleReview();
}

void Gateway::onTargetRestarted(const TargetEntry &current)
{
    const std::uint64_t wall = m_loop.wallMilliseconds();
    const std::chrono::milliseconds age(wall - std::min(wall, current.startedAt));
    for (ForwardedRequest *exchange : openExchanges())
        exchange->onTargetRestarted(current, m_loop.now() - age);
}

void Gateway::removeTarget(const TargetId &target)
{
    if (const TrackedTarget *known = m_targets.find(target)) {
        m_unnamedStreams.removeTarget(known->entry);
        m_paths.forget(known->entry.instance());
        if (!known->entry.isDraining)
            m_suspects.recordLoss(known->entry.service);
    }
    m_targets.remove(target);
    m_channels.closeIdle(target);
}

void Gateway::setEvacuated(const DataCentreId &dataCentre, bool isEvacuated)
{
    m_targets.setEvacuated(dataCentre, isEvacuated, m_loop.now());
    scheduleReview();
}

void Gateway::startDraining(std::optional<Instant> shutdownAt)
{
    m_draining = true;
    m_context.shutdownAt = shutdownAt;
    refuseWaitingRequests();
}

void Gateway::refuseWaitingRequests()
{
    for (ForwardedRequest *exchange : openExchanges())
        exchange->onProcessStops();
}

void Gateway::stopListening()
{
    // Closing the listener resets the connections that wait there.
    if (m_listener)
        m_listener->acceptWaiting();
    m_listener.reset();
    for (CallerConnection *connection : openConnections())
        connection->closeIfIdle();
}

std::vector<CallerConnection *> Gateway::openConnections() const
{
    std::vector<CallerConnection *> open;
    for (const std::unique_ptr<CallerConnection> &connection : m_connections)
        open.push_back(connection.get());
    return open;
}

void Gateway::endUnansweredRequests()
{
    for (ForwardedRequest *exchange : openExchanges())
        exchange->onProcessEnds();
}

void Gateway::closeConnections()
{
    for (ForwardedRequest *exchange : openExchanges())
        exchange->onProcessGone();
    for (CallerConnection *connection : openConnections())
        connection->closeAtProcessEnd();
}

void Gateway::onResponseCut(const CutResponse &response)
{
    m_context.log.write(LogEvent(GatewayEvent::ResponseCut)
                            .forRequest(response.request)
                            .with("by", std::string(response.isClosedHere ? "daemon" : "caller"))
                            .with("cause", std::string(response.cause))
                            .with("unsent_bytes", response.unsentBytes)
                            .with("written_ms", response.age));
}

std::vector<ForwardedRequest *> Gateway::openExchanges() const
{
    std::vector<ForwardedRequest *> open;
    for (const auto &[id, exchange] : m_exchanges)
        open.push_back(exchange.get());
    return open;
}

CallerRequestEvents &Gateway::begin(ReceivedRequest request, CallerResponder &responder)
{
    const ExchangeId id(++m_lastExchange);
    auto made = std::make_unique<ForwardedRequest>(m_context, id, std::move(request), responder);
    ForwardedRequest &exchange = *made;
    m_exchanges.emplace(id.value(), std::move(made));
    exchange.begin();
    return exchange;
}

void Gateway::release(CallerRequestEvents &events)
{
    const auto found = m_exchanges.find(static_cast<ForwardedRequest &>(events).id().value());
    if (found == m_exchanges.end())
        return;
    m_loop.defer([gone = std::shared_ptr<ForwardedRequest>(std::move(found->second))] {});
    m_exchanges.erase(found);
}

CallerBounds Gateway::callerBounds() const
{
    return m_context.routes ? m_context.routes->configuration().limits : CallerBounds();
}

MessageLimits Gateway::messageLimits() const
{
    return {callerBounds().headBytes, callerBounds().bodyBytes};
}

Duration Gateway::idleTimeout() const
{
    const Duration current = callerBounds().idleTimeout;
    return m_loop.now() < m_formerIdleTimeout.until ? std::max(current, m_formerIdleTimeout.time)
                                                    : current;
}

void Gateway::onPlaced(ExchangeId exchange, const TargetEntry &target, const SlotFill &fill)
{
    m_context.metrics.slotFilled(nameOf(fill.cause));
    const auto found = m_exchanges.find(exchange.value());
    if (found != m_exchanges.end())
        found->second->onPlaced(target, fill);
    if (m_loadListener)
        m_loadListener();
}

void Gateway::onRefused(ExchangeId exchange, const RefusalDetails &facts)
{
    const auto found = m_exchanges.find(exchange.value());
    if (found != m_exchanges.end())
        found->second->onRefused(facts);
}

void Gateway::onLimitDecided(ExchangeId exchange, const LimitDecision &decision)
{
    const auto found = m_exchanges.find(exchange.value());
    if (found != m_exchanges.end())
        found->second->onLimitDecided(decision);
}

void Gateway::onPermitDecided(ExchangeId exchange, const PermitDecision &decision)
{
    const auto found = m_exchanges.find(exchange.value());
    if (found != m_exchanges.end())
        found->second->onPermitDecided(decision);
}

void Gateway::onOriginDecided(ExchangeId exchange, const StreamOriginDecision &decision)
{
    const auto found = m_exchanges.find(exchange.value());
    if (found != m_exchanges.end())
        found->second->onOriginDecided(decision);
}

void Gateway::onGrantorChanged(std::uint64_t limit, GrantorChange change, double level)
{
    CustomerId name;
    if (m_context.routes) {
        for (const CustomerRule &rule : m_context.routes->configuration().customers)
            name = customerHash(rule.name) == limit ? rule.name : name;
    }
    m_context.log.write(LogEvent(GatewayEvent::GrantorChanged)
                            .with("customer", name.text())
                            .with("target", m_targets.nameOf(limit))
                            .with("change", std::string(nameOf(change)))
                            .with("level", level)
                            .with("members", m_context.members));
}

void Gateway::send(const Endpoint &to, const LimitMessage &message)
{
    if (!m_limitMessenger)
        return;
    // A grantor that doesn't know of the limit couldn't grant its units.
    if (const auto *request = std::get_if<UnitsRequest>(&message)) {
        m_targetLimits.inform(to, request->limit, m_loop.now());
        m_suspects.inform(to, request->limit);
    }
    m_limitMessenger->send(to, message);
}

void Gateway::broadcast(const LimitMessage &message)
{
    if (m_limitMessenger)
        m_limitMessenger->broadcast(message);
}

void Gateway::take(const TargetLimitNotice &notice)
{
    m_targetLimits.take(notice, m_loop.now());
}

void Gateway::take(const BrittlenessNotice &notice)
{
    m_targetRejections.take(notice.rejections, m_loop.now());
}

void Gateway::take(const TargetFullNotice &notice)
{
    m_targets.recordFull(notice.target, m_loop.now());
}

void Gateway::onTargetFull(const TargetInstance &target)
{
    const TrackedTarget *tracked = m_targets.find(target);
    if (tracked && tracked->hasOwnShare)
        broadcast(TargetFullNotice {targetHash(target)});
}

TargetLimitAnnouncer &Gateway::announcerOf(TargetLimitKind kind)
{
    return kind == TargetLimitKind::Requests ? m_targetLimits : m_targetRejections;
}

void Gateway::onTargetLimitChanged(TargetLimitKind kind, std::uint64_t target,
                                   TargetLimitChange change, TargetLimitOrigin origin)
{
    const TargetLimit *limit = announcerOf(kind).limits().find(target);
    const bool ofRequests = kind == TargetLimitKind::Requests;
    m_context.log.write(
        LogEvent(ofRequests ? GatewayEvent::TargetLimitChanged : GatewayEvent::TargetBrittle)
            .with("target", m_targets.nameOf(target))
            .with("change", std::string(nameOf(change)))
            .with("limit_per_s", limit->perSecond().value_or(0))
            .with("from", std::string(nameOf(origin)))
            .with("limit_age_ms", m_loop.now() - limit->observed));
    if (ofRequests)
        m_targets.setLimit(target, limit->perSecond());
    else
        m_targets.setBrittle(target, limit->perSecond());
    updateBudgets();
    scheduleReview();
}

void Gateway::reviewTargetLimits()
{
    const auto isKnown = [this](std::uint64_t target) { return m_targets.isKnown(target); };
    m_targetLimits.review(isKnown, m_loop.now());
    m_targetRejections.review(isKnown, m_loop.now());
    // Targets of the service that aren't used would keep it brittle.
    for (const std::uint64_t target :
         m_targetRejections.limits().unconfirmed(BrittlenessMemory, m_loop.now()))
        m_targets.setBrittle(target, std::nullopt);
}

void Gateway::onCrashed(const TargetInstance &target, CrashSign sign,
                        const std::vector<DroppedRequest> &requests, Instant crashed)
{
    m_context.log.write(LogEvent(GatewayEvent::TargetCrashed)
                            .with("target", target.id.text())
                            .with("sign", std::string(nameOf(sign)))
                            .with("requests", requests.size())
                            .with("age_ms", m_loop.now() - crashed));
    std::vector<RequestTraits> running(requests.size());
    std::ranges::transform(requests, running.begin(), &DroppedRequest::request);
    if (const TrackedTarget *known = m_targets.find(target))
        m_suspects.recordLoss(known->entry.service);
    m_context.suspectGuard->recordCrash(target, running, crashed);
}

void Gateway::onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion,
                               unsigned losses)
{
    switch (conclusion.verdict) {
    case ReachVerdict::Here:
    case ReachVerdict::Refused:
    case ReachVerdict::Silent:
        m_targets.recordUnreachable(target.instance(), losses, m_loop.now());
        break;
    case ReachVerdict::Elsewhere:
        m_targets.recordReachable(target.instance());
        scheduleReview();
        break;
    case ReachVerdict::Unknown:
        break;
    }
    m_crashDetector.conclude(target, conclusion.verdict);
}

void Gateway::onSurvived(const TargetInstance &target, const std::vector<DroppedRequest> &requests)
{
    m_context.log.write(LogEvent(GatewayEvent::TargetSurvived)
                            .with("target", target.id.text())
                            .with("requests", requests.size()));
    for (const DroppedRequest &request : requests) {
        m_context.suspectGuard->recordSurvived(target, request.request);
        if (request.isAnswered)
            m_context.suspectGuard->recordAnswer(request.request, {request.sent, request.sent});
    }
}

void Gateway::updateTrialBudget(std::uint64_t trait)
{
    m_limits.setBudget(trait, m_suspects.budget(trait), m_loop.now());
    scheduleLimitReview();
}

void Gateway::updateBudgets()
{
    UnitBudgets budgets = m_targetLimits.limits().budgets(m_bounds);
    budgets.merge(m_targetRejections.limits().rejectionBudgets());
    budgets.merge(m_suspects.budgets());
    if (m_context.routes)
        budgets.merge(budgetsOf(m_context.routes->configuration().customers, m_bounds));
    m_limits.setBudgets(budgets, m_loop.now());
    scheduleLimitReview();
}

void Gateway::scheduleLimitReview()
{
    m_loop.cancel(m_limitTimer);
    const std::optional<Instant> next = m_limits.nextReview();
    if (!next)
        return;
    const Duration wait = std::max<Duration>(*next - m_loop.now(), Duration::zero());
    m_limitTimer = m_loop.after(wait, [this] {
        m_limitTimer = 0;
        m_limits.review(m_loop.now());
        scheduleLimitReview();
    });
}

void Gateway::scheduleReview()
{
    if (m_loadListener)
        m_loadListener();
    if (std::exchange(m_reviewPending, true))
        return;
    m_loop.defer([this] { review(); });
}

void Gateway::review()
{
    m_reviewPending = false;
    m_dispatcher.review(m_loop.now());
    m_loop.cancel(m_dispatchTimer);
    if (const std::optional<Instant> next = m_dispatcher.nextReview(m_loop.now()))
        m_dispatchTimer = m_loop.after(*next - m_loop.now(), [this] { scheduleReview(); });
}

} // namespace Apricothook
