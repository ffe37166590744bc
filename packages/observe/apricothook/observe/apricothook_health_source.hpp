#pragma once

namespace Apricothook {

/** Liveness and readiness behind /healthz and /readyz. Called from the metrics server's thread. */
class HealthSource
{
public:
    virtual ~HealthSource() = default;
    /**
     * False if the core's event loop has stalled, in which case the process should be restarted.
     */
    virtual bool isAlive() const = 0;
    /** True if the daemon is configured, has joined the fleet and isn't leaving. */
    virtual bool isReady() const = 0;
};

} // namespace Apricothook
