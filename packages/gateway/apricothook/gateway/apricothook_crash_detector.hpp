#pragma once

#include <apricothook/dispatch/apricothook_request_traits.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/paths/apricothook_reach_evidence.hpp>

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A request whose connection to a target ended, or that the target left without a sign of life. */
struct DroppedRequest
{
    RequestTraits request;
    /** When it was sent to the target. */
    Instant sent {};
    /** The end of the connection was the end of a response without a length. */
    bool isAnswered = false;

    auto operator<=>(const DroppedRequest &) const = default;
};

/** What showed that a target has crashed. */
enum class CrashSign {
    NoConnection, ///< It doesn't keep a new connection either, from no daemon.
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
    /** The target keeps a new connection, from this daemon or another one. */
    virtual void onSurvived(const TargetInstance &target,
                            const std::vector<DroppedRequest> &requests)
        = 0;
};

/**
 * Distinguishes a crashed target from one that merely closed a connection or is slow.
 *
 * After a target drops a connection, it is inquired whether it accepts new ones. If it refuses them
 * from every daemon, or doesn't answer anybody for some time, it has crashed, and the requests
 * dropped until then were lost with it. If it accepts another daemon's, only this daemon's path was
 * lost. If nobody can tell, nothing is concluded. A target that is restarted at once accepts
 * connections; its new instance is registered soon.
 */
class CrashDetector
{
public:
    /** A sound target may stand still for a second. */
    static constexpr std::chrono::seconds LongestStandstill {2};
    /** Pause between inquiries while a target is silent or nobody can tell. */
    static constexpr std::chrono::milliseconds InquiryPause {300};
    /** After this time without a conclusion the dropped requests are forgotten. */
    static constexpr std::chrono::seconds LongestInquiry {4};
    /** Time in which the instance that follows a crashed one is registered. */
    static constexpr std::chrono::seconds RegistrationTime {10};
    /** Time for which a crashed target isn't probed again. */
    static constexpr std::chrono::seconds CrashedTime {60};

    /** `inquire` starts an inquiry about the target, which ends with conclude(). */
    CrashDetector(EventLoop &loop, CrashListener &listener,
                  std::function<void(const TargetEntry &target)> inquire);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /** Records that the target dropped the request, or doesn't answer it. */
    void recordDropped(const TargetEntry &target, const DroppedRequest &request);
    /** An inquiry about the target has ended. */
    void conclude(const TargetEntry &target, ReachVerdict verdict);
    /** Records a response of the target. */
    void recordAlive(const TargetInstance &target) { m_crashed.erase(target); }
    /** Records that the target is registered. */
    void recordRegistered(const TargetEntry &target);

private:
    /** Requests that one target dropped. */
    struct Drop
    {
        TargetInstance target;
        Endpoint address;
        /** When the target dropped the first request. */
        Instant dropped {};
        std::vector<DroppedRequest> requests;
    };

    void inquireLater(const TargetEntry &target);
    void reportCrash(const TargetInstance &target, CrashSign sign,
                     const std::vector<DroppedRequest> &requests, Instant crashed);
    void forgetOld();

    EventLoop &m_loop;
    CrashListener &m_listener;
    const std::function<void(const TargetEntry &target)> m_inquire;
    /** Drops that nothing has been concluded about. */
    std::map<TargetInstance, Drop> m_drops;
    std::map<TargetInstance, TimerId> m_timers;
    /** Drops by targets that kept a new connection. */
    std::vector<Drop> m_survivors;
    /** When targets crashed that haven't answered since. */
    std::map<TargetInstance, Instant> m_crashed;
};

} // namespace Apricothook
