#pragma once

#include <apricothook/testing/apricothook_engine_work.hpp>
#include <apricothook/testing/apricothook_http_host.hpp>

#include <json/value.h>
#include <mutex>
#include <set>
#include <thread>

namespace Apricothook {

/** A model engine on loopback that speaks docs/ENGINE-PROTOCOL.md in real time. */
class EngineStandIn : public HttpHandler
{
public:
    explicit EngineStandIn(EngineOptions options, std::uint16_t port = 0);
    ~EngineStandIn() override;

    std::uint16_t port() const { return m_host->port(); }
    void setFaults(const EngineFaults &faults);
    EngineFaults faults() const;
    /** Loses everything; connections are closed until the restart time has passed. */
    void crash();
    /** Answers that are open now go silent for good, while new ones work. */
    void silenceOpen();
    RunCount runs(const std::string &key);
    RunCount sum();
    double wastedPrefill();
    /** What `GET /_counts` answers. */
    Json::Value counts();

private:
    friend class EngineAnswer;

    HttpReply handle(const HttpRequest &request) override;
    HttpReply control(const HttpRequest &request);
    HttpReply complete(const HttpRequest &request);
    HttpReply stream(const HttpRequest &request);
    HttpReply load();
    HttpReply cacheEvents(const HttpRequest &request);
    HttpReply exportKv(const HttpRequest &request);
    HttpReply importKv(const HttpRequest &request);
    HttpReply order(const HttpRequest &request);
    HttpReply refusal(int status) const;
    HttpReply answerFrom(std::shared_ptr<EngineStream> stream, std::uint64_t offset);
    bool isClosing() const;
    bool takeKill();
    void work();
    void crashLocked();

    mutable std::mutex m_mutex;
    EngineWork m_work;
    EngineFaults m_faults;
    Instant m_closedUntil {};
    std::mt19937_64 m_random;
    std::uint64_t m_answers = 0;
    std::uint64_t m_silentAnswers = 0;
    std::uint64_t m_fencing = 0;
    std::set<std::string> m_orders;
    std::uint64_t m_appliedOrders = 0;
    std::uint64_t m_refusedOrders = 0;
    bool m_stopping = false;
    std::unique_ptr<HttpHost> m_host;
    std::thread m_worker;
};

} // namespace Apricothook
