#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A request whose connection to a target ended, or that the target left without a sign of life. */
struct DroppedRequest
{
    Fingerprint request;
    /** When it was sent to the target. */
    Instant sent {};
    /** The end of the connection was the end of a response without a length. */
    bool isAnswered = false;

    auto operator<=>(const DroppedRequest &) const = default;
};

/** What showed that a target has crashed. */
enum class CrashSign {
    NoConnection, ///< It doesn't keep a new connection either.
    NewInstance,  ///< Another instance of a target started at its address.
};

std::string_view nameOf(CrashSign sign);

/** Receives the detector's conclusions. */
class CrashListener
{
public:
    virtual ~CrashListener() = default;
    /** The target crashed at `crashed` while it was running the requests. */
    virtual void onCrashed(const TargetInstance &target, CrashSign sign,
                           const std::vector<DroppedRequest> &requests, Instant crashed)
        = 0;
    /** The target keeps a new connection. */
    virtual void onSurvived(const TargetInstance &target,
                            const std::vector<DroppedRequest> &requests)
        = 0;
};

/**
 * Distinguishes a crashed target from one that merely closed a connection or is slow.
 *
 * After a target drops a connection, a probe connects to it again. If the probe doesn't stay
 * connected either, the target has crashed, and the requests dropped until then were lost with it.
 * A target that is restarted at once accepts the probe; its new instance is registered soon.
 */
class CrashDetector
{
public:
    /** From the first dropped connection to the decision; connecting takes one round trip. */
    static constexpr std::chrono::milliseconds ProbeTime {150};
    /** Time in which the instance that follows a crashed one is registered. */
    static constexpr std::chrono::seconds RegistrationTime {10};
    /** Time for which a crashed target isn't probed again. */
    static constexpr std::chrono::seconds CrashedTime {60};

    /** `from`: address of this VM to connect from. */
    CrashDetector(EventLoop &loop, CrashListener &listener, std::string from = {});
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /** Records that the target dropped the request, or doesn't answer it. */
    void recordDropped(const TargetEntry &target, const DroppedRequest &request);
    /** Records a response of the target. */
    void recordAlive(const TargetInstance &target) { m_crashed.erase(target); }
    /** Records that the target is registered. */
    void recordRegistered(const TargetEntry &target);

private:
    class Probe;
    /** Requests dropped by a target that kept a new connection. */
    struct Survivor
    {
        TargetInstance target;
        Endpoint address;
        Instant dropped {};
        std::vector<DroppedRequest> requests;
    };

    void evaluate(const TargetInstance &target);
    void reportCrash(const TargetInstance &target, CrashSign sign,
                     const std::vector<DroppedRequest> &requests, Instant crashed);
    void forgetOld();

    EventLoop &m_loop;
    CrashListener &m_listener;
    const std::string m_from;
    std::map<TargetInstance, std::unique_ptr<Probe>> m_probes;
    std::vector<Survivor> m_survivors;
    /** When targets crashed that haven't answered since. */
    std::map<TargetInstance, Instant> m_crashed;
};

} // namespace Apricothook
