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
 * Tells a target that has crashed from one that dropped a connection.
 *
 * A target drops a connection for many reasons. Where a new one isn't kept either, it has crashed,
 * and the requests that it dropped about then were lost with it.
 */
class CrashWatch
{
public:
    using Crashed = std::function<void(const TargetId &target, const std::vector<Fingerprint> &)>;

    /** From the first dropped connection to the verdict; a new connection takes a round trip. */
    static constexpr std::chrono::milliseconds ProbeTime {150};

    CrashWatch(EventLoop &loop, Crashed crashed);
    ~CrashWatch();
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    /** The target dropped the request's connection before its answer was whole. */
    void noteDropped(const TargetEntry &target, Fingerprint request);

private:
    class Probe;

    void judge(const TargetInstance &target);

    EventLoop &m_loop;
    const Crashed m_crashed;
    std::map<TargetInstance, std::unique_ptr<Probe>> m_probes;
};

} // namespace Apricothook
