#pragma once

#include <apricothook/observe/apricothook_top_customers.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

namespace Apricothook {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

/** Limits the number of distinct label values; any further value is replaced with "other". */
class BoundedLabels
{
public:
    explicit BoundedLabels(std::size_t limit) : m_limit(limit) { }
    std::string label(const std::string &name);

private:
    std::size_t m_limit;
    std::unordered_set<std::string> m_values;
};

/**
 * A histogram for each tier and class. Caches the series it has created, because prometheus-cpp
 * constructs a new histogram at each look-up, which is too expensive to do for every token.
 */
class ClassHistograms
{
public:
    using Bounds = prometheus::Histogram::BucketBoundaries;

    ClassHistograms(HistogramFamily &family, Bounds bounds);
    prometheus::Histogram &series(const std::string &tier, const std::string &requestClass);

private:
    HistogramFamily &m_family;
    Bounds m_bounds;
    std::map<std::pair<std::string, std::string>, prometheus::Histogram *> m_series;
};

/** The prometheus-cpp families behind Metrics. The mutex protects the tables outside of them. */
class MetricsTables
{
public:
    MetricsTables(std::size_t maximumCustomers, std::size_t maximumLabelValues);

    std::mutex mutex;
    prometheus::Registry registry;
    CounterFamily &requests;
    CounterFamily &refusals;
    CounterFamily &prefillTokens;
    CounterFamily &controlBytes;
    CounterFamily &repeats;
    CounterFamily &targetUnits;
    CounterFamily &streamsTakenUp;
    CounterFamily &longPauses;
    CounterFamily &slotsFilled;
    CounterFamily &incompleteResponses;
    CounterFamily &loopHeldUp;
    CounterFamily &backups;
    CounterFamily &suspectsRefused;
    CounterFamily &callersLimited;
    CounterFamily &customerRequests;
    ClassHistograms requestSeconds;
    ClassHistograms firstTokenSeconds;
    ClassHistograms betweenTokensSeconds;
    ClassHistograms queueWaitSeconds;
    HistogramFamily &customerSeconds;
    GaugeFamily &ringItems;
    GaugeFamily &floors;
    GaugeFamily &heldForCallers;
    BoundedLabels classes;
    BoundedLabels services;
    TopCustomers customers;
};

} // namespace Apricothook
