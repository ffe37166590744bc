#pragma once

#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/testing/apricothook_http_host.hpp>

#include <condition_variable>
#include <json/value.h>
#include <mutex>
#include <string>
#include <vector>

namespace Apricothook {

struct PlatformFaults
{
    /** Every connection is closed without an answer. */
    bool isDown = false;
    /** Reads answer what was there when this was set; watches see nothing new. */
    bool isStale = false;
    Duration delay {};
    auto operator<=>(const PlatformFaults &) const = default;
};

/** What the platform published at one revision. */
struct PublishedConfig
{
    std::uint64_t revision = 0;
    std::string text;
};

struct PublishedVm
{
    std::string id;
    bool isLeaving = false;
};

/** The platform on loopback: the configuration, read and watched, and the list of VMs. */
class PlatformStandIn : public HttpHandler
{
public:
    explicit PlatformStandIn(std::uint16_t port = 0);
    ~PlatformStandIn() override;

    std::uint16_t port() const { return m_host->port(); }
    /** Publishes the text under the next revision, which is returned. */
    std::uint64_t publish(std::string text);
    void publishVms(std::vector<PublishedVm> vms);
    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;
    /** Calls so far; a waiting watch is one call. */
    std::uint64_t reads() const;
    /** What `GET /_counts` answers: reads, waiting watches, most reads within one second. */
    Json::Value counts() const;

private:
    HttpReply handle(const HttpRequest &request) override;
    HttpReply control(const HttpRequest &request);
    HttpReply config(const HttpRequest &request, std::unique_lock<std::mutex> &lock);
    HttpReply vms() const;
    const PublishedConfig &visibleConfig() const;
    void countRead();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    PublishedConfig m_config;
    PublishedConfig m_staleConfig;
    std::vector<PublishedVm> m_vms;
    std::uint64_t m_vmsRevision = 0;
    PlatformFaults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_waiting = 0;
    std::int64_t m_second = 0;
    std::uint64_t m_readsThisSecond = 0;
    std::uint64_t m_mostReadsInASecond = 0;
    bool m_stopping = false;
    std::unique_ptr<HttpHost> m_host;
};

} // namespace Apricothook
