#include <apricothook/observe/apricothook_metrics.hpp>

#include <apricothook/observe/internal/apricothook_metrics_tables.hpp>

#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

namespace Apricothook {

namespace {

/** Coarser than the bounds for classes, because there are more customers than classes. */
const prometheus::Histogram::BucketBoundaries CustomerBounds {0.05, 0.25, 0.46, 1, 5, 30, 120};

constexpr std::array Results {RequestResult::Answered, RequestResult::AnsweredLate,
                              RequestResult::NotRun, RequestResult::Unknown,
                              RequestResult::CallerLeft};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string tierLabel(Tier tier)
{
    const bool isKnown = tier.rank() >= 1 && tier.rank() <= LowestTierRank;
    return isKnown ? std::to_string(tier.rank()) : "other";
}

std::string_view nameOf(PrefillUse use)
{
    if (use == PrefillUse::Computed)
        return "computed";
    return use == PrefillUse::Cached ? "cached" : "wasted";
}

const char *nameOf(MetricGauge level)
{
    switch (level) {
    case MetricGauge::Generation:
        return "apricothook_generation";
    case MetricGauge::LiveMembers:
        return "apricothook_live_members";
    case MetricGauge::CallerConnections:
        return "apricothook_caller_connections";
    case MetricGauge::CallerExchanges:
        return "apricothook_caller_exchanges";
    case MetricGauge::HeldBodyBytes:
        return "apricothook_held_body_bytes";
    case MetricGauge::WaitingRequests:
        return "apricothook_waiting_requests";
    case MetricGauge::RunningRequests:
        return "apricothook_running_requests";
    case MetricGauge::KeptKeys:
        return "apricothook_kept_keys";
    case MetricGauge::KeptAnswerBytes:
        return "apricothook_kept_answer_bytes";
    case MetricGauge::EvacuatedTargets:
        return "apricothook_evacuated_targets";
    case MetricGauge::ColdTargets:
        return "apricothook_cold_targets";
    case MetricGauge::ViewAge:
        return "apricothook_view_age_seconds";
    case MetricGauge::LimitedTargets:
        return "apricothook_limited_targets";
    case MetricGauge::LostPaths:
        return "apricothook_lost_paths";
    case MetricGauge::RelaySessions:
        return "apricothook_relay_sessions";
    case MetricGauge::HeldForCallersLimit:
        return "apricothook_held_for_callers_limit_bytes";
    }
    return "apricothook_unnamed";
}

std::string customerLabel(const MetricsTables &tables, const CustomerId &customer)
{
    return tables.customers.has(customer) ? customer.text() : "other";
}

void observe(MetricsTables &tables, ClassHistograms &histograms, const RequestLabels &labels,
             Duration value)
{
    const std::lock_guard lock(tables.mutex);
    const std::string requestClass = tables.classes.label(labels.requestClass.text());
    histograms.series(tierLabel(labels.tier), requestClass).Observe(secondsOf(value));
}

} // namespace

Metrics::Metrics() : m_tables(std::make_unique<MetricsTables>(MaximumCustomers, MaximumLabelValues))
{
}

Metrics::~Metrics() = default;

void Metrics::requestEnded(const RequestLabels &labels, RequestResult result, Duration took)
{
    MetricsTables &tables = *m_tables;
    observe(tables, tables.requestSeconds, labels, took);
    const std::string resultName(Apricothook::nameOf(result));
    const std::lock_guard lock(tables.mutex);
    tables.requests
        .Add({{"tier", tierLabel(labels.tier)},
              {"class", tables.classes.label(labels.requestClass.text())},
              {"result", resultName}})
        .Increment();
    tables.customers.count(labels.customer);
    const std::string customer = customerLabel(tables, labels.customer);
    tables.customerSeconds.Add({{"customer", customer}}, CustomerBounds).Observe(secondsOf(took));
    tables.customerRequests.Add({{"customer", customer}, {"result", resultName}}).Increment();
}

void Metrics::refused(Tier tier, RefusalReason reason)
{
    m_tables->refusals
        .Add({{"tier", tierLabel(tier)}, {"reason", std::string(Apricothook::nameOf(reason))}})
        .Increment();
}

void Metrics::timeToFirstToken(const RequestLabels &labels, Duration after)
{
    observe(*m_tables, m_tables->firstTokenSeconds, labels, after);
}

void Metrics::interTokenLatency(const RequestLabels &labels, Duration gap)
{
    observe(*m_tables, m_tables->betweenTokensSeconds, labels, gap);
}

void Metrics::queueWait(const RequestLabels &labels, Duration waited)
{
    observe(*m_tables, m_tables->queueWaitSeconds, labels, waited);
}

void Metrics::prefill(Tier tier, PrefillUse use, std::uint64_t tokens)
{
    m_tables->prefillTokens.Add({{"tier", tierLabel(tier)}, {"use", std::string(nameOf(use))}})
        .Increment(static_cast<double>(tokens));
}

void Metrics::set(MetricGauge level, double value)
{
    prometheus::BuildGauge()
        .Name(nameOf(level))
        .Help("See docs/METRICS.md")
        .Register(m_tables->registry)
        .Add({})
        .Set(value);
}

void Metrics::setRing(std::string_view ring, std::size_t items)
{
    m_tables->ringItems.Add({{"ring", std::string(ring)}}).Set(static_cast<double>(items));
}

void Metrics::setFloor(const ServiceId &service, Tier lowest)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->floors.Add({{"service", m_tables->services.label(service.text())}})
        .Set(lowest.rank());
}

void Metrics::retryDecided(const ServiceId &service, bool isGranted)
{
    const std::string verdict = isGranted ? "granted" : "denied";
    const std::lock_guard lock(m_tables->mutex);
    m_tables->repeats
        .Add({{"service", m_tables->services.label(service.text())}, {"verdict", verdict}})
        .Increment();
}

void Metrics::targetUnitDecided(const ServiceId &service, bool isGranted)
{
    const std::string verdict = isGranted ? "granted" : "held";
    const std::lock_guard lock(m_tables->mutex);
    m_tables->targetUnits
        .Add({{"service", m_tables->services.label(service.text())}, {"verdict", verdict}})
        .Increment();
}

void Metrics::responseIncomplete(std::string_view cause)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->incompleteResponses.Add({{"cause", std::string(cause)}}).Increment();
}

void Metrics::loopHeldUp(Duration held)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->loopHeldUp.Add({}).Increment(secondsOf(held));
}

void Metrics::backupEnded(std::string_view outcome)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->backups.Add({{"outcome", std::string(outcome)}}).Increment();
}

void Metrics::suspectRefused(std::string_view kind)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->suspectsRefused.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::streamTakenUp(std::string_view origin)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->streamsTakenUp.Add({{"origin", std::string(origin)}}).Increment();
}

void Metrics::longPause(const ServiceId &service)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->longPauses.Add({{"service", service.text()}}).Increment();
}

void Metrics::callerLimited(std::string_view limit, std::string_view cause)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->callersLimited.Add({{"limit", std::string(limit)}, {"cause", std::string(cause)}})
        .Increment();
}

void Metrics::setHeldForCallers(std::string_view purpose, std::uint64_t bytes)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->heldForCallers.Add({{"purpose", std::string(purpose)}})
        .Set(static_cast<double>(bytes));
}

void Metrics::slotFilled(std::string_view cause)
{
    const std::lock_guard lock(m_tables->mutex);
    m_tables->slotsFilled.Add({{"cause", std::string(cause)}}).Increment();
}

void Metrics::controlBytes(Direction direction, std::uint64_t bytes)
{
    const std::string name = direction == Direction::Sent ? "sent" : "received";
    m_tables->controlBytes.Add({{"direction", name}}).Increment(static_cast<double>(bytes));
}

void Metrics::updateTopCustomers(Instant now)
{
    MetricsTables &tables = *m_tables;
    const std::lock_guard lock(tables.mutex);
    const std::optional<CustomerId> lost = tables.customers.update(now);
    if (!lost)
        return;
    const std::string customer = lost->text();
    tables.customerSeconds.Remove(
        &tables.customerSeconds.Add({{"customer", customer}}, CustomerBounds));
    for (const RequestResult result : Results) {
        const std::string name(Apricothook::nameOf(result));
        tables.customerRequests.Remove(
            &tables.customerRequests.Add({{"customer", customer}, {"result", name}}));
    }
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_tables->registry.Collect());
}

} // namespace Apricothook
