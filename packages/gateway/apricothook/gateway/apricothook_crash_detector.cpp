#include <apricothook/gateway/apricothook_crash_detector.hpp>

#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <utility>

namespace Apricothook {

/** A new connection to a target, and the requests that the target has dropped. */
class CrashDetector::Probe : private StreamSocketEvents
{
public:
    Probe(EventLoop &loop, const Endpoint &target, std::function<void()> evaluate)
        : m_loop(loop), m_socket(loop, *this, target)
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

    std::vector<Fingerprint> droppedRequests;

private:
    void onConnected() override { m_isConnected = true; }
    void onData(std::string_view) override { }
    void onEnd(CloseReason) override { m_isConnected = false; }

    EventLoop &m_loop;
    bool m_isConnected = false;
    TimerId m_timer = 0;
    StreamSocket m_socket;
};

CrashDetector::CrashDetector(EventLoop &loop, CrashHandler crashed)
    : m_loop(loop), m_crashHandler(std::move(crashed))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::recordDropped(const TargetEntry &target, Fingerprint request)
{
    std::unique_ptr<Probe> &probe = m_probes[target.instance()];
    if (!probe) {
        probe = std::make_unique<Probe>(m_loop, target.address,
                                        [this, start = target.instance()] { evaluate(start); });
    }
    probe->droppedRequests.push_back(request);
}

void CrashDetector::evaluate(const TargetInstance &target)
{
    const auto found = m_probes.find(target);
    const std::unique_ptr<Probe> probe = std::move(found->second);
    const TargetId id = target.id;
    m_probes.erase(found);
    if (!probe->isConnected())
        m_crashHandler(id, probe->droppedRequests);
}

} // namespace Apricothook
