#pragma once

#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/testing/apricothook_http_host.hpp>
#include <apricothook/testing/apricothook_run_counts.hpp>

#include <condition_variable>
#include <json/value.h>
#include <mutex>
#include <random>
#include <string>

namespace Apricothook {

/** How a plain service stand-in behaves, and what is wrong with it. */
struct PlainOptions
{
    std::string id = "plain";
    Duration delay = std::chrono::milliseconds(5);
    std::uint64_t seed = 1;
    /** Runs a key only once and gives its answer again. */
    bool isDeduplicating = false;
    /** Chance, and number of the next calls, that run and then close without an answer. */
    double killChance = 0;
    std::uint32_t kills = 0;
    /** Calls run and then get no answer until this is lifted. */
    bool isStalled = false;
    bool isRefusing = false;
    bool isDown = false;
};

/** A plain service on loopback; answers expectedPlainAnswer() and counts each run by key. */
class PlainStandIn : public HttpHandler
{
public:
    explicit PlainStandIn(PlainOptions options, std::uint16_t port = 0);
    ~PlainStandIn() override;

    std::uint16_t port() const { return m_host->port(); }
    void setOptions(const PlainOptions &options);
    PlainOptions options() const;
    RunCount runs(const std::string &key);
    RunCount sum();
    /** Runs of paths that contain "charge" or "ticket": work that may not be repeated. */
    std::uint64_t effects() const;
    /** What `GET /_counts` answers. */
    Json::Value counts();

private:
    HttpReply handle(const HttpRequest &request) override;
    HttpReply control(const HttpRequest &request);
    HttpReply run(const HttpRequest &request, const std::string &key,
                  std::unique_lock<std::mutex> &lock);
    bool takeKill();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    PlainOptions m_options;
    RunCounts m_counts;
    std::mt19937_64 m_random;
    std::uint64_t m_effects = 0;
    bool m_stopping = false;
    std::unique_ptr<HttpHost> m_host;
};

} // namespace Apricothook
