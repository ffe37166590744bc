#include <apricothook/paths/apricothook_connection_probe.hpp>

#include <utility>

namespace Apricothook {

ConnectionProbe::ConnectionProbe(EventLoop &loop, const Endpoint &to, const ProbeSetup &setup,
                                 std::function<void()> changed)
    : m_request(setup.request), m_changed(std::move(changed)), m_socket(loop, *this, to, setup.from)
{
}

ConnectionProbe::~ConnectionProbe()
{
    m_socket.abort();
}

ProbeResult ConnectionProbe::result() const
{
    return m_result;
}

void ConnectionProbe::onConnected()
{
    m_socket.send(m_request);
}

void ConnectionProbe::onData(std::string_view)
{
    conclude(ProbeResult::Answered);
}

void ConnectionProbe::onEnd(CloseReason)
{
    conclude(ProbeResult::Refused);
}

void ConnectionProbe::conclude(ProbeResult result)
{
    if (m_result != ProbeResult::Silent)
        return;
    m_result = result;
    if (m_changed)
        m_changed();
}

} // namespace Apricothook
