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

/** A set of label values that stops growing; those that come later share "other". */
class BoundedNames
{
public:
    explicit BoundedNames(std::size_t limit) : m_limit(limit) { }
    std::string label(const std::string &name);

private:
    std::size_t m_limit;
    std::unordered_set<std::string> m_names;
};

/**
 * A histogram for each tier and class. Keeps the series that it has made: the library builds a new
 * histogram at each look-up, which per token would cost a share of the daemon's budget.
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

/** The families of prometheus-cpp behind Metrics; one lock for its own tables. */
class MetricsTables
{
public:
    MetricsTables(std::size_t customerPlaces, std::size_t maximumNames);

    std::mutex mutex;
    prometheus::Registry registry;
    CounterFamily &requests;
    CounterFamily &refusals;
    CounterFamily &prefillTokens;
    CounterFamily &controlBytes;
    CounterFamily &repeats;
    CounterFamily &customerRequests;
    ClassHistograms requestSeconds;
    ClassHistograms firstTokenSeconds;
    ClassHistograms betweenTokensSeconds;
    ClassHistograms queueWaitSeconds;
    HistogramFamily &customerSeconds;
    GaugeFamily &ringItems;
    GaugeFamily &floors;
    BoundedNames classes;
    BoundedNames services;
    TopCustomers customers;
};

} // namespace Apricothook
