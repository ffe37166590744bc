#pragma once

namespace Apricothook {

/** What /healthz and /readyz ask; called from the metrics thread. */
class HealthSource
{
public:
    virtual ~HealthSource() = default;
    /** False when the core has stopped turning: the process is better restarted. */
    virtual bool isAlive() const = 0;
    /** True when callers may be sent here: configured, joined and not leaving. */
    virtual bool isReady() const = 0;
};

} // namespace Apricothook
