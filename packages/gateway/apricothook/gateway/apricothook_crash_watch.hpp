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
class CrashWatch
{
public:
    using Crashed = std::function<void(const TargetId &target, const std::vector<Fingerprint> &)>;

    /** From the first dropped connection to the decision; connecting takes one round trip. */
    static constexpr std::chrono::milliseconds ProbeTime {150};

    CrashWatch(EventLoop &loop, Crashed crashed);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /** Records that the target dropped the connection before the response was complete. */
    void noteDropped(const TargetEntry &target, Fingerprint request);

private:
    class Probe;

    void judge(const TargetInstance &target);

    EventLoop &m_loop;
    const Crashed m_crashed;
    std::map<TargetInstance, std::unique_ptr<Probe>> m_probes;
};

} // namespace Apricothook
