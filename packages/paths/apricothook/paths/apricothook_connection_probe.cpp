#include <apricothook/paths/apricothook_connection_probe.hpp>

#include <utility>

namespace Apricothook {

ConnectionProbe::ConnectionProbe(EventLoop &loop, const Endpoint &to, const std::string &from,
                                 std::function<void()> changed)
    : m_changed(std::move(changed)), m_socket(loop, *this, to, from)
{
}

ConnectionProbe::~ConnectionProbe()
{
    m_socket.abort();
}

ProbeResult ConnectionProbe::result() const
{
    if (m_hasEnded)
        return ProbeResult::Refused;
    return m_isConnected ? ProbeResult::Kept : ProbeResult::Silent;
}

void ConnectionProbe::onConnected()
{
    m_isConnected = true;
    if (m_changed)
        m_changed();
}

void ConnectionProbe::onEnd(CloseReason)
{
    m_hasEnded = true;
    if (m_changed)
        m_changed();
}

} // namespace Apricothook
