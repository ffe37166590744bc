#include <apricothook/paths/apricothook_connection_probe.hpp>

#include <utility>

namespace Apricothook {

ConnectionProbe::ConnectionProbe(EventLoop &loop, const Endpoint &to, const std::string &from,
                                 std::function<void()> ended)
    : m_ended(std::move(ended)), m_socket(loop, *this, to, from)
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

void ConnectionProbe::onEnd(CloseReason)
{
    m_hasEnded = true;
    if (m_ended)
        m_ended();
}

} // namespace Apricothook
