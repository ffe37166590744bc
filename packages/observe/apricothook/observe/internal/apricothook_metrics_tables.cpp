#include <apricothook/observe/internal/apricothook_metrics_tables.hpp>

namespace Apricothook {

namespace {

/**
 * Bucket bounds in seconds. The service-level objectives of 0.46 s and 44 ms are bounds, so that
 * the share of requests that meet them is exact.
 */
const prometheus::Histogram::BucketBoundaries RequestBounds {
    0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1, 2.5, 5, 10, 30, 60, 120, 300};
const prometheus::Histogram::BucketBoundaries TokenBounds {0.005, 0.01, 0.02, 0.03, 0.044,
                                                           0.06,  0.1,  0.25, 1,    5};

CounterFamily &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

HistogramFamily &histogram(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

GaugeFamily &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

std::string BoundedLabels::label(const std::string &name)
{
    if (m_values.contains(name))
        return name;
    if (m_values.size() >= m_limit)
        return "other";
    m_values.insert(name);
    return name;
}

ClassHistograms::ClassHistograms(HistogramFamily &family, Bounds bounds)
    : m_family(family), m_bounds(std::move(bounds))
{
}

prometheus::Histogram &ClassHistograms::series(const std::string &tier,
                                               const std::string &requestClass)
{
    prometheus::Histogram *&known = m_series[{tier, requestClass}];
    if (!known)
        known = &m_family.Add({{"tier", tier}, {"class", requestClass}}, m_bounds);
    return *known;
}

MetricsTables::MetricsTables(std::size_t maximumCustomers, std::size_t maximumLabelValues)
    : requests(counter(registry, "apricothook_requests_total", "Requests that ended, by result"))
    , refusals(counter(registry, "apricothook_refusals_total", "Refusals, by reason"))
    , prefillTokens(counter(registry, "apricothook_prefill_tokens_total",
                            "Prompt tokens sent to engines, by what became of them"))
    , controlBytes(
          counter(registry, "apricothook_control_bytes_total", "Bytes of messages between daemons"))
    , repeats(counter(registry, "apricothook_repeated_sends_total",
                      "Sends of a request after its first one, by the retry budget's verdict"))
    , targetUnits(counter(registry, "apricothook_target_limit_decisions_total",
                          "Requests to targets that name a limit, by the limit's verdict"))
    , streamsTakenUp(counter(registry, "apricothook_streams_taken_up_total",
                             "Requests that go on with an earlier stream, by who knew its version"))
    , longPauses(counter(registry, "apricothook_long_pauses_total",
                         "Answered streams with a pause over their gap objective, by service"))
    , slotsFilled(counter(registry, "apricothook_slots_filled_total",
                          "Requests placed at targets, by why this daemon could fill the slot"))
    , incompleteResponses(counter(registry, "apricothook_incomplete_responses_total",
                                  "Requests that may have run and got no complete response"))
    , loopHeldUp(counter(registry, "apricothook_loop_held_up_seconds_total",
                         "Time for which the event loop was held up, without times below 0.1 s"))
    , backups(counter(registry, "apricothook_backups_total",
                      "Second attempts beside those at silent targets"))
    , suspectsRefused(counter(registry, "apricothook_suspects_refused_total",
                              "Requests refused since they may crash their target, by what is "
                              "suspect of them"))
    , callersLimited(counter(registry, "apricothook_callers_limited_total",
                             "Connections closed and requests refused because of a limit on all "
                             "callers together"))
    , customerRequests(counter(registry, "apricothook_customer_requests_total",
                               "Requests that ended, by customer and result"))
    , requestSeconds(histogram(registry, "apricothook_request_seconds",
                               "From the request's arrival to the end of its answer"),
                     RequestBounds)
    , firstTokenSeconds(histogram(registry, "apricothook_first_token_seconds",
                                  "From the request's arrival to its first byte"),
                        RequestBounds)
    , betweenTokensSeconds(histogram(registry, "apricothook_between_tokens_seconds",
                                     "Gap between the tokens of an answer"),
                           TokenBounds)
    , queueWaitSeconds(histogram(registry, "apricothook_queue_wait_seconds",
                                 "From the request's arrival to its reservation"),
                       RequestBounds)
    , customerSeconds(histogram(registry, "apricothook_customer_request_seconds",
                                "From arrival to the end of the answer, by customer"))
    , ringItems(gauge(registry, "apricothook_ring_items", "Items in a ring between threads"))
    , floors(gauge(registry, "apricothook_floor_tier", "Lowest tier that a service admits"))
    , heldForCallers(gauge(registry, "apricothook_held_for_callers_bytes",
                           "Bytes held for all callers together, by purpose"))
    , classes(maximumLabelValues)
    , services(maximumLabelValues)
    , customers(maximumCustomers)
{
}

} // namespace Apricothook
