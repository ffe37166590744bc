#include <apricothook/gateway/apricothook_crash_detector.hpp>

#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <functional>
#include <utility>

namespace Apricothook {

std::string_view nameOf(CrashSign sign)
{
    return sign == CrashSign::NoConnection ? "no-connection" : "new-instance";
}

/** A new connection to a target, and the requests that the target has dropped. */
class CrashDetector::Probe : private StreamSocketEvents
{
public:
    Probe(EventLoop &loop, const Endpoint &target, const std::string &from,
          std::function<void()> evaluate)
        : address(target), dropped(loop.now()), m_loop(loop), m_socket(loop, *this, target, from)
    {
        m_timer = m_loop.after(ProbeTime, std::move(evaluate));
    }
    ~Probe() override
    {
        m_loop.cancel(m_timer);
        m_socket.abort();
    }
    Probe(const Probe &) = delete;
    Probe &operator=(const Probe &) = delete;

    bool isConnected() const { return m_isConnected && m_socket.isOpen(); }

    const Endpoint address;
    /** When the target dropped the first request. */
    const Instant dropped;
    std::vector<DroppedRequest> requests;

private:
    void onConnected() override { m_isConnected = true; }
    void onData(std::string_view) override { }
    void onEnd(CloseReason) override { m_isConnected = false; }

    EventLoop &m_loop;
    bool m_isConnected = false;
    TimerId m_timer = 0;
    StreamSocket m_socket;
};

CrashDetector::CrashDetector(EventLoop &loop, CrashListener &listener, std::string from)
    : m_loop(loop), m_listener(listener), m_from(std::move(from))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::recordDropped(const TargetEntry &target, const DroppedRequest &request)
{
    forgetOld();
    const TargetInstance instance = target.instance();
    // What was sent to a target that was already down wasn't running when it crashed.
    const auto crashed = m_crashed.find(instance);
    if (crashed != m_crashed.end() && request.sent > crashed->second)
        return;
    std::unique_ptr<Probe> &probe = m_probes[instance];
    if (!probe)
        probe = std::make_unique<Probe>(m_loop, target.address, m_from,
                                        [this, instance] { evaluate(instance); });
    else if (request.sent > probe->dropped)
        return;
    probe->requests.push_back(request);
}

void CrashDetector::evaluate(const TargetInstance &target)
{
    const auto found = m_probes.find(target);
    const std::unique_ptr<Probe> probe = std::move(found->second);
    m_probes.erase(found);
    if (!probe->isConnected()) {
        reportCrash(target, CrashSign::NoConnection, probe->requests, probe->dropped);
        return;
    }
    m_survivors.push_back({target, probe->address, probe->dropped, probe->requests});
    m_listener.onSurvived(target, probe->requests);
}

void CrashDetector::recordRegistered(const TargetEntry &target)
{
    forgetOld();
    const auto isFollowed = [&target](const TargetInstance &instance, const Endpoint &address) {
        return address == target.address && instance != target.instance();
    };
    std::vector<Survivor> crashed;
    for (auto &[instance, probe] : m_probes) {
        if (isFollowed(instance, probe->address))
            crashed.push_back({instance, probe->address, probe->dropped, probe->requests});
    }
    for (const Survivor &survivor : m_survivors) {
        if (isFollowed(survivor.target, survivor.address))
            crashed.push_back(survivor);
    }
    std::erase_if(m_survivors, [&](const Survivor &survivor) {
        return isFollowed(survivor.target, survivor.address);
    });
    for (const Survivor &each : crashed) {
        m_probes.erase(each.target);
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
    std::erase_if(m_survivors, [now](const Survivor &survivor) {
        return now - survivor.dropped > RegistrationTime;
    });
    std::erase_if(m_crashed, [now](const auto &entry) { return now - entry.second > CrashedTime; });
}

} // namespace Apricothook
