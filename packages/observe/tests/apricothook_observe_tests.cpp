#include <apricothook/observe/apricothook_event_names.hpp>
#include <apricothook/observe/apricothook_health_source.hpp>
#include <apricothook/observe/apricothook_log_sink.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/observe/apricothook_metrics_server.hpp>
#include <apricothook/observe/apricothook_top_customers.hpp>

#include "apricothook_line_collector.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace Apricothook;

namespace {

class ManualClock : public Clock
{
public:
    Instant now() const override { return time; }
    std::uint64_t wallMilliseconds() const override { return 0; }
    Instant time {};
};

struct FakeHealthSource : HealthSource
{
    bool isAlive() const override { return alive; }
    bool isReady() const override { return ready; }
    bool alive = true;
    bool ready = false;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::size_t countSeries(const std::string &text)
{
    std::size_t series = 0;
    for (std::size_t at = 0; at < text.size(); at = text.find('\n', at) + 1)
        series += text[at] == '#' ? 0 : 1;
    return series;
}

std::string get(std::uint16_t port, const std::string &path)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address));
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string all;
    std::array<char, 4096> bytes {};
    ssize_t count = 0;
    while ((count = ::recv(socket, bytes.data(), bytes.size(), 0)) > 0)
        all.append(bytes.data(), static_cast<std::size_t>(count));
    ::close(socket);
    return all;
}

RequestLabels labelsOf(const std::string &customer, const std::string &requestClass = "chat")
{
    return RequestLabels {Tier(2), ClassId(requestClass), CustomerId(customer)};
}

} // namespace

TEST_SUITE("[observe][log]")
{
    TEST_CASE("An event's line has its number, name, key and details at its level")
    {
        ManualClock clock;
        LineCollector log;
        LogSink sink(clock);
        sink.record(DecisionEvent {402, RequestKey("k1"), "service=llm floor=3"});
        sink.record(DecisionEvent {999, RequestKey(), ""});
        REQUIRE(log.lines.size() == 2);
        CHECK(log.lines[0] == "E402 FloorRaised key=k1 service=llm floor=3");
        CHECK(log.severities[0] == LineSeverity::Warning);
        CHECK(log.lines[1] == "E999 NotInCatalogue");
        CHECK(log.severities[1] == LineSeverity::Error);
    }

    TEST_CASE("A burst of one event is limited and counted, and other events are still logged")
    {
        // Thousands of refusals a second are logged along with the one event that explains them.
        // The operator must be able to find that event and the number of refusals.
        ManualClock clock;
        LineCollector log;
        LogSink sink(clock);
        for (int event = 0; event < 1000; ++event)
            sink.record(DecisionEvent {402, RequestKey(), ""});
        sink.record(DecisionEvent {404, RequestKey(), ""});
        CHECK(log.lines.size() == LogSink::LinesPerSecond + 1);
        CHECK(log.lines.back().starts_with("E404"));
        clock.time += std::chrono::seconds(1);
        sink.record(DecisionEvent {402, RequestKey(), ""});
        CHECK(contains(log.lines.back(), "left-out=980"));
    }

    TEST_CASE("The limit of lines per second can be set")
    {
        ManualClock clock;
        LineCollector log;
        LogSink sink(clock, 500);
        for (int event = 0; event < 600; ++event)
            sink.record(DecisionEvent {402, RequestKey(), ""});
        CHECK(log.lines.size() == 500);
    }

    TEST_CASE("Control characters in an event's details can't inject a line")
    {
        CHECK(eventLine(DecisionEvent {402, RequestKey(), "a\nE404 b"}, 0)
              == "E402 FloorRaised a?E404 b");
    }
}

TEST_SUITE("[observe][metrics]")
{
    TEST_CASE("Requests are counted by tier, class, customer and result")
    {
        Metrics metrics;
        metrics.requestEnded(labelsOf("c1"), RequestResult::Answered,
                             std::chrono::milliseconds(300));
        metrics.requestEnded(labelsOf("c1"), RequestResult::NotRun, std::chrono::milliseconds(5));
        metrics.interTokenLatency(labelsOf("c1"), std::chrono::milliseconds(44));
        metrics.timeToFirstToken(labelsOf("c1"), std::chrono::milliseconds(461));
        metrics.prefill(Tier(2), PrefillUse::Wasted, 1200);
        metrics.refused(Tier(3), RefusalReason::Shed);
        metrics.set(MetricGauge::Generation, 7);
        metrics.set(MetricGauge::Generation, 8);
        metrics.setRing("core", 3);
        metrics.setFloor(ServiceId("llm"), Tier(4));
        metrics.retryDecided(ServiceId("llm"), true);
        metrics.retryDecided(ServiceId("llm"), false);
        metrics.retryDecided(ServiceId("llm"), false);
        const std::string text = metrics.text();
        for (const char *line :
             {"apricothook_requests_total{class=\"chat\",result=\"answered\",tier=\"2\"} 1",
              "apricothook_request_seconds_bucket{class=\"chat\",tier=\"2\",le=\"0.46\"} 2",
              "apricothook_request_seconds_bucket{class=\"chat\",tier=\"2\",le=\"0.25\"} 1",
              "apricothook_between_tokens_seconds_bucket{class=\"chat\",tier=\"2\",le=\"0.044\"} 1",
              "apricothook_first_token_seconds_bucket{class=\"chat\",tier=\"2\",le=\"0.46\"} 0",
              "apricothook_customer_requests_total{customer=\"c1\",result=\"not-run\"} 1",
              "apricothook_prefill_tokens_total{tier=\"2\",use=\"wasted\"} 1200",
              "apricothook_refusals_total{reason=\"shed\",tier=\"3\"} 1",
              "apricothook_generation 8", "apricothook_ring_items{ring=\"core\"} 3",
              "apricothook_floor_tier{service=\"llm\"} 4",
              "apricothook_repeated_sends_total{service=\"llm\",verdict=\"granted\"} 1",
              "apricothook_repeated_sends_total{service=\"llm\",verdict=\"denied\"} 2"})
            CHECK_MESSAGE(contains(text, line), line);
    }

    TEST_CASE("The number of series is bounded whatever customers and classes appear")
    {
        // Each label value uses memory until the process ends and adds a line to every scrape.
        // 2,500 customers, or a caller that makes up class names, would exhaust the 32 MB that a VM
        // has for control.
        Metrics metrics;
        for (int request = 0; request < 20000; ++request) {
            const std::string number = std::to_string(request % 2500);
            metrics.requestEnded(labelsOf("c" + number, "k" + number), RequestResult::Answered,
                                 std::chrono::milliseconds(20));
            metrics.updateTopCustomers(Instant(std::chrono::seconds(request)));
        }
        const std::string text = metrics.text();
        CHECK(contains(text, "class=\"other\""));
        CHECK(contains(text, "customer=\"other\""));
        const std::size_t perCustomer = 7 + 3 + 1;
        const std::size_t perClass = 14 + 3 + 1;
        CHECK(countSeries(text) <= (Metrics::MaximumCustomers + 1) * perCustomer
                  + (Metrics::MaximumLabelValues + 1) * perClass);
    }

    TEST_CASE("Customers with the most traffic are selected, and similar ones aren't swapped")
    {
        TopCustomers top(2);
        const auto count = [&top](const char *customer, int requests) {
            for (; requests > 0; --requests)
                top.count(CustomerId(customer));
        };
        count("a", 4);
        count("b", 8);
        count("c", 5);
        CHECK_FALSE(top.update(Instant()).has_value());
        count("c", 1);
        CHECK(top.update(Instant()) == CustomerId("a"));
        CHECK(top.has(CustomerId("b")));
        CHECK(top.has(CustomerId("c")));
        count("a", 3);
        CHECK_FALSE(top.update(Instant()).has_value());
        // A customer that was busy an hour ago is replaced by one that is busy now.
        for (int minute = 1; minute <= 60; ++minute)
            top.update(Instant(std::chrono::minutes(minute)));
        count("a", 1);
        CHECK(top.update(Instant(std::chrono::minutes(60))).has_value());
        CHECK(top.has(CustomerId("a")));
    }
}

TEST_SUITE("[observe][server]")
{
    TEST_CASE("Metrics and health are served, and readiness reflects the health source")
    {
        Metrics metrics;
        metrics.setRing("core", 3);
        FakeHealthSource health;
        MetricsServer server(Endpoint {"127.0.0.1", 0}, metrics, health);
        const auto port = server.start();
        REQUIRE(port);
        CHECK(contains(get(port.value(), "/metrics"), "apricothook_ring_items{ring=\"core\"} 3"));
        CHECK(get(port.value(), "/healthz").starts_with("HTTP/1.1 200"));
        CHECK(get(port.value(), "/readyz").starts_with("HTTP/1.1 503"));
        health.ready = true;
        CHECK(get(port.value(), "/readyz").starts_with("HTTP/1.1 200"));
        CHECK(get(port.value(), "/else").starts_with("HTTP/1.1 404"));
        MetricsServer second(Endpoint {"127.0.0.1", port.value()}, metrics, health);
        CHECK(second.start().error() == MetricsServerError::ListenFailed);
    }
}
