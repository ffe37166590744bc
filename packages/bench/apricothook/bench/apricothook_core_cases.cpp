#include <apricothook/bench/apricothook_allocation_count.hpp>
#include <apricothook/bench/apricothook_bench_case.hpp>
#include <apricothook/bench/apricothook_bench_core.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A request from its arrival to the outcome's acknowledgement, all of the entry's decisions. */
class RequestSubject : public BenchSubject
{
public:
    RequestSubject(const BenchScale &scale, bool isTicketed)
        : m_core(scale), m_isTicketed(isTicketed)
    {
    }
    void prepare() override
    {
        // 12.5 requests a second, as at the letter's size.
        m_core.pass(milliseconds(80));
        m_before = m_core.traffic();
    }
    void operate() override
    {
        m_core.begin(m_isTicketed);
        m_core.settle();
        const BenchTraffic &now = m_core.traffic();
        m_sum.messages += now.messages - m_before.messages;
        m_sum.bytes += now.bytes - m_before.bytes;
        m_sum.wireBytes += now.wireBytes - m_before.wireBytes;
        m_sum.dispatched += now.dispatched - m_before.dispatched;
        m_sum.answered += now.answered - m_before.answered;
        ++m_count;
    }
    std::vector<BenchFigure> figures() const override
    {
        const auto count = static_cast<double>(m_count);
        return {{"messages", static_cast<double>(m_sum.messages) / count},
                {"wireBytes", static_cast<double>(m_sum.wireBytes) / count},
                {"answered", static_cast<double>(m_sum.answered) / count}};
    }

private:
    BenchCore m_core;
    bool m_isTicketed;
    BenchTraffic m_before;
    BenchTraffic m_sum;
    std::size_t m_count = 0;
};

/** One second with so many answers open: 20 ticks, its probe, its reports and all other upkeep. */
class IdleSubject : public BenchSubject
{
public:
    IdleSubject(const BenchScale &scale, std::size_t open)
    {
        const std::int64_t before = allocationsNow().liveBytes;
        m_core = std::make_unique<BenchCore>(scale);
        m_core->hold();
        for (std::size_t i = 0; i < open; ++i) {
            m_core->begin(true);
            m_core->settle();
        }
        m_bytes = static_cast<double>(allocationsNow().liveBytes - before);
        m_before = m_core->traffic();
    }
    void operate() override
    {
        m_core->pass(seconds(1));
        ++m_count;
    }
    std::vector<BenchFigure> figures() const override
    {
        const auto count = static_cast<double>(m_count);
        const BenchTraffic &now = m_core->traffic();
        return {{"messages", static_cast<double>(now.messages - m_before.messages) / count},
                {"wireBytes", static_cast<double>(now.wireBytes - m_before.wireBytes) / count},
                {"stateBytes", m_bytes}};
    }

private:
    std::unique_ptr<BenchCore> m_core;
    BenchTraffic m_before;
    std::size_t m_count = 0;
    double m_bytes = 0;
};

/** A text comes into force that differs from the one before in `size` targets. */
class ApplySubject : public BenchSubject
{
public:
    ApplySubject(const BenchScale &scale, std::size_t changed)
        : m_scale(scale), m_changed(changed), m_core(scale)
    {
    }
    void prepare() override
    {
        m_core.pass(milliseconds(200));
        m_text = benchConfiguration(m_scale, ++m_generation);
        for (std::size_t i = 0; i < m_changed; ++i)
            m_text->text.targets[i].slots = 16 + m_generation % 2;
    }
    void operate() override { m_core.applyConfiguration(m_text); }
    std::vector<BenchFigure> figures() const override
    {
        const bool isInForce = m_core.generation() == Generation(m_generation);
        return {{"inForce", isInForce ? 1.0 : 0.0}};
    }

private:
    BenchScale m_scale;
    std::size_t m_changed;
    BenchCore m_core;
    std::shared_ptr<Configuration> m_text;
    std::uint64_t m_generation = 1;
};

/** The metrics of one request's end. */
class MetricsSubject : public BenchSubject
{
public:
    explicit MetricsSubject(std::size_t customers) : m_customers(customers)
    {
        const std::int64_t before = allocationsNow().liveBytes;
        m_metrics = std::make_unique<Metrics>();
        for (std::size_t i = 0; i < 2 * customers; ++i) {
            prepare();
            operate();
        }
        m_metrics->updateTopCustomers(BenchStart);
        m_bytes = static_cast<double>(allocationsNow().liveBytes - before);
    }
    void prepare() override
    {
        ++m_next;
        m_labels = {Tier(1 + m_next % 5), ClassId("class-" + std::to_string(1 + m_next % 5)),
                    CustomerId(benchCustomer(m_next % m_customers))};
    }
    void operate() override
    {
        m_metrics->requestEnded(m_labels, RequestResult::Answered, milliseconds(900));
        m_metrics->queueWait(m_labels, milliseconds(3));
        m_metrics->timeToFirstToken(m_labels, milliseconds(200));
        m_metrics->interTokenLatency(m_labels, milliseconds(20));
        m_metrics->prefill(m_labels.tier, PrefillUse::Computed, 400);
    }
    std::vector<BenchFigure> figures() const override { return {{"stateBytes", m_bytes}}; }

private:
    std::size_t m_customers;
    std::unique_ptr<Metrics> m_metrics;
    RequestLabels m_labels;
    std::size_t m_next = 0;
    double m_bytes = 0;
};

} // namespace

void addConfigurationCases(BenchCases &cases)
{
    cases.push_back({"apply", "daemons", FleetSizes, 40, [](std::size_t size) {
                         return std::make_unique<ApplySubject>(BenchScale::of(size), 1);
                     }});
    cases.push_back(
        {"apply-diff", "targets changed of 600", {1, 10, 60, 600}, 40, [](std::size_t size) {
             return std::make_unique<ApplySubject>(BenchScale::of(320), size);
         }});
}

void addCoreCases(BenchCases &cases)
{
    cases.push_back({"request", "daemons", FleetSizes, 400, [](std::size_t size) {
                         return std::make_unique<RequestSubject>(BenchScale::of(size), true);
                     }});
    cases.push_back({"request-own-key", "daemons", FleetSizes, 400, [](std::size_t size) {
                         return std::make_unique<RequestSubject>(BenchScale::of(size), false);
                     }});
    cases.push_back({"idle-second", "daemons", FleetSizes, 60, [](std::size_t size) {
                         return std::make_unique<IdleSubject>(BenchScale::of(size), 0);
                     }});
    cases.push_back({"open-second",
                     "open answers at 320 daemons",
                     {15, 30, 60, 120, 240},
                     60,
                     [](std::size_t size) {
                         return std::make_unique<IdleSubject>(BenchScale::of(320), size);
                     }});
    cases.push_back({"metrics", "customers", {70, 280, 780, 2500}, 2000, [](std::size_t size) {
                         return std::make_unique<MetricsSubject>(size);
                     }});
}

} // namespace Apricothook
