#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Apricothook {

/**
 * Distinguishes a crashed target from one that merely closed a connection.
 *
 * After a target drops a connection, a probe connects to it again. If the probe doesn't stay
 * connected either, the target has crashed, and the requests dropped until then were lost with it.
 */
class CrashDetector
{
public:
    using CrashHandler
        = std::function<void(const TargetId &target, const std::vector<Fingerprint> &)>;

    /** From the first dropped connection to the decision; connecting takes one round trip. */
    static constexpr std::chrono::milliseconds ProbeTime {150};

    CrashDetector(EventLoop &loop, CrashHandler crashed);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /** Records that the target dropped the connection before the response was complete. */
    void recordDropped(const TargetEntry &target, Fingerprint request);

private:
    class Probe;

    void evaluate(const TargetInstance &target);

    EventLoop &m_loop;
    const CrashHandler m_crashHandler;
    std::map<TargetInstance, std::unique_ptr<Probe>> m_probes;
};

} // namespace Apricothook
