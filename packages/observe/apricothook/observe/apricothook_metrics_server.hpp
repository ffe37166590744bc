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
 * Serves GET /metrics, /healthz and /readyz from a dedicated thread, so that they respond even
 * while callers saturate all other threads.
 */
class MetricsServer
{
public:
    MetricsServer(Endpoint address, const Metrics &metrics, const HealthSource &health);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /** Starts to listen and returns the bound port. */
    Result<std::uint16_t, MetricsServerError> start();
    void stop();

private:
    Endpoint m_address;
    const Metrics &m_metrics;
    const HealthSource &m_health;
    MHD_Daemon *m_daemon = nullptr;

    friend struct MetricsRequestHandler;
};

} // namespace Apricothook
