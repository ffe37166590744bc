#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <cstdint>

struct MHD_Daemon;

namespace Apricothook {

class HealthSource;
class Metrics;

enum class MetricsServerError { BadAddress, ListenFailed };

/**
 * Serves GET /metrics, /healthz and /readyz from one thread of its own, so that they answer while
 * callers keep everything else busy.
 */
class MetricsServer
{
public:
    MetricsServer(Endpoint address, const Metrics &metrics, const HealthSource &health);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /** Listens; the port that was bound. */
    Result<std::uint16_t, MetricsServerError> start();
    void stop();

private:
    Endpoint m_address;
    const Metrics &m_metrics;
    const HealthSource &m_health;
    MHD_Daemon *m_daemon = nullptr;

    friend struct MetricsPages;
};

} // namespace Apricothook
