#include <apricothook/gateway/apricothook_crash_detector.hpp>

#include <utility>

namespace Apricothook {

std::string_view nameOf(CrashSign sign)
{
    return sign == CrashSign::NoConnection ? "no-connection" : "new-instance";
}

CrashDetector::CrashDetector(EventLoop &loop, CrashListener &listener,
                             std::function<void(const TargetEntry &target)> inquire)
    : m_loop(loop), m_listener(listener), m_inquire(std::move(inquire))
{
}

CrashDetector::~CrashDetector()
{
    for (auto &[target, timer] : m_timers)
        m_loop.cancel(timer);
}

void CrashDetector::recordDropped(const TargetEntry &target, const DroppedRequest &request)
{
    forgetOld();
    const TargetInstance instance = target.instance();
    // What was sent to a target that was already down wasn't running when it crashed.
    const auto crashed = m_crashed.find(instance);
    if (crashed != m_crashed.end() && request.sent > crashed->second)
        return;
    const auto [known, isFirst]
        = m_drops.try_emplace(instance, Drop {instance, target.address, m_loop.now(), {}});
    if (request.sent > known->second.dropped)
        return;
    known->second.requests.push_back(request);
    if (isFirst)
        m_inquire(target);
}

void CrashDetector::conclude(const TargetEntry &target, ReachVerdict verdict)
{
    const auto found = m_drops.find(target.instance());
    if (found == m_drops.end())
        return;
    const Duration age = m_loop.now() - found->second.dropped;
    const bool isAlive = verdict == ReachVerdict::Here || verdict == ReachVerdict::Elsewhere;
    const bool isDown = verdict == ReachVerdict::Refused
        || (verdict == ReachVerdict::Silent && age >= LongestStandstill);
    if (!isAlive && !isDown && age < LongestInquiry) {
        inquireLater(target);
        return;
    }
    const Drop drop = found->second;
    m_drops.erase(found);
    if (isDown) {
        reportCrash(drop.target, CrashSign::NoConnection, drop.requests, drop.dropped);
        return;
    }
    m_survivors.push_back(drop);
    if (isAlive)
        m_listener.onSurvived(drop.target, drop.requests);
}

void CrashDetector::inquireLater(const TargetEntry &target)
{
    TimerId &timer = m_timers[target.instance()];
    m_loop.cancel(timer);
    timer = m_loop.after(InquiryPause, [this, target] {
        m_timers.erase(target.instance());
        if (m_drops.contains(target.instance()))
            m_inquire(target);
    });
}

void CrashDetector::recordRegistered(const TargetEntry &target)
{
    forgetOld();
    const auto isFollowed = [&target](const TargetInstance &instance, const Endpoint &address) {
        return address == target.address && instance != target.instance();
    };
    std::vector<Drop> crashed;
    for (const auto &[instance, drop] : m_drops) {
        if (isFollowed(instance, drop.address))
            crashed.push_back(drop);
    }
    for (const Drop &survivor : m_survivors) {
        if (isFollowed(survivor.target, survivor.address))
            crashed.push_back(survivor);
    }
    std::erase_if(m_survivors, [&](const Drop &survivor) {
        return isFollowed(survivor.target, survivor.address);
    });
    for (const Drop &each : crashed) {
        m_drops.erase(each.target);
        reportCrash(each.target, CrashSign::NewInstance, each.requests, each.dropped);
    }
}

void CrashDetector::reportCrash(const TargetInstance &target, CrashSign sign,
                                const std::vector<DroppedRequest> &requests, Instant crashed)
{
    m_crashed[target] = crashed;
    m_listener.onCrashed(target, sign, requests, crashed);
}

void CrashDetector::forgetOld()
{
    const Instant now = m_loop.now();
    std::erase_if(m_survivors, [now](const Drop &survivor) {
        return now - survivor.dropped > RegistrationTime;
    });
    std::erase_if(m_crashed, [now](const auto &entry) { return now - entry.second > CrashedTime; });
}

} // namespace Apricothook
