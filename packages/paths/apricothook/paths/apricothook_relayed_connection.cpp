#include <apricothook/paths/apricothook_relayed_connection.hpp>

#include <utility>

namespace Apricothook {

RelayedConnection::RelayedConnection(EventLoop &loop, StreamSocketEvents &events,
                                     const Endpoint &relay, const RelayRequest &request,
                                     const std::string &from,
                                     std::function<void(RelayOutcome)> opened)
    : m_events(events)
    , m_request(request)
    , m_opened(std::move(opened))
    , m_socket(loop, *this, relay, from)
{
}

void RelayedConnection::conclude(RelayOutcome outcome)
{
    if (const auto opened = std::exchange(m_opened, nullptr))
        opened(outcome);
}

void RelayedConnection::onConnected()
{
    m_socket.send(writeRequestHead(writeRelayRequest(m_request), {}));
}

void RelayedConnection::onData(std::string_view bytes)
{
    while (!bytes.empty() && m_socket.isOpen()) {
        const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
        if (!taken) {
            fail();
            return;
        }
        bytes.remove_prefix(taken.value());
        if (!processHead())
            return;
        const std::string body = m_reader.takeBody();
        if (!body.empty())
            m_events.onData(body);
        if (!m_socket.isOpen())
            return;
        if (m_reader.isComplete()) {
            m_socket.close();
            m_events.onEnd(CloseReason::PeerClosed);
            return;
        }
    }
}

bool RelayedConnection::processHead()
{
    if (m_isOpened || !m_reader.hasHead())
        return m_isOpened;
    const RelayOutcome outcome = relayOutcomeOf(m_reader.head().status);
    if (outcome != RelayOutcome::Reached) {
        conclude(outcome);
        fail();
        return false;
    }
    m_isOpened = true;
    conclude(outcome);
    m_events.onConnected();
    return m_socket.isOpen();
}

void RelayedConnection::onEnd(CloseReason)
{
    // In order or not: without the last chunk the target's bytes may be incomplete.
    fail();
}

void RelayedConnection::fail()
{
    m_socket.abort();
    conclude(RelayOutcome::Failed);
    m_events.onEnd(CloseReason::Failed);
}

void RelayedConnection::onDrained()
{
    if (m_isOpened)
        m_events.onDrained();
}

} // namespace Apricothook
