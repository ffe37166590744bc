#include <apricothook/gateway/apricothook_target_channel.hpp>

#include <utility>

namespace Apricothook {

TargetChannel::TargetChannel(EventLoop &loop, const WireProtocol &protocol,
                             TargetChannelOwner &owner, TargetConnector &connector,
                             const TargetEntry &target, const RequestKey &request)
    : m_loop(loop), m_protocol(protocol), m_owner(owner), m_target(target)
{
    StreamSocketEvents &events = *this;
    OpeningConnection opening = connector.open(target, request, events);
    m_relay = opening.relay;
    m_connection = std::move(opening.connection);
    m_connectTimer = m_loop.after(opening.timeout, [this] {
        m_connectTimer = 0;
        m_connection->abort();
        fail(ChannelFailure::NotConnected);
    });
}

TargetChannel::~TargetChannel()
{
    m_loop.cancel(m_connectTimer);
}

void TargetChannel::start(const RequestKey &request, bool isHeadResponse,
                          TargetResponseEvents &events)
{
    m_request = request;
    m_events = &events;
    m_isHeadResponse = isHeadResponse;
    m_unexpectedResponses = 0;
    m_discarded = 0;
    resetResponse();
    m_connection->setReading(true);
    if (m_connected)
        sendRequest();
}

void TargetChannel::sendRequest()
{
    const WrittenRequest request = m_events->writeRequest();
    m_connection->send(request.head);
    if (request.body)
        m_connection->send(request.body);
}

void TargetChannel::resetResponse()
{
    m_reader = ResponseReader(m_isHeadResponse);
    m_headReported = false;
    m_isUnexpected = false;
}

void TargetChannel::cancel()
{
    m_events = nullptr;
    close();
}

void TargetChannel::close()
{
    if (!m_connection->isOpen())
        return;
    m_loop.cancel(m_connectTimer);
    // A reset lets the target detect at once that the response is no longer needed.
    m_connection->abort();
    m_owner.onChannelClosed(*this);
}

void TargetChannel::onConnected()
{
    m_connected = true;
    m_loop.cancel(m_connectTimer);
    if (m_events)
        sendRequest();
}

void TargetChannel::onData(std::string_view bytes)
{
    if (m_events) {
        readResponse(bytes);
        return;
    }
    m_owner.onUnexpectedResponse(*this);
    close();
}

void TargetChannel::readResponse(std::string_view bytes)
{
    while (m_events && !bytes.empty()) {
        const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
        if (!taken) {
            m_connection->abort();
            fail(ChannelFailure::Malformed);
            return;
        }
        bytes.remove_prefix(taken.value());
        if (!processHead())
            return;
        const std::string body = m_reader.takeBody();
        if (!m_isUnexpected && !body.empty())
            m_events->onResponseBody(body);
        m_discarded += m_isUnexpected ? body.size() : 0;
        if (m_discarded > MaxDiscardedBytes) {
            m_connection->abort();
            fail(ChannelFailure::Malformed);
            return;
        }
        // The handler may have cancelled the request.
        if (!m_events || !m_reader.isComplete())
            return;
        if (m_isUnexpected)
            resetResponse();
        else
            completeResponse(!bytes.empty());
    }
}

bool TargetChannel::processHead()
{
    if (m_headReported || !m_reader.hasHead())
        return m_headReported;
    m_headReported = true;
    const TargetResponseFields fields = m_protocol.targetResponse(m_reader.head());
    if (fields.keepAliveSeconds)
        m_keepAliveTimeout = std::chrono::seconds(*fields.keepAliveSeconds);
    m_isUnexpected = !fields.requestId.isEmpty() && fields.requestId != m_request;
    if (!m_isUnexpected) {
        m_events->onResponseHead(m_reader.head(), fields);
        return m_events != nullptr;
    }
    m_owner.onUnexpectedResponse(*this);
    if (++m_unexpectedResponses <= MaxUnexpectedResponses)
        return true;
    m_connection->abort();
    fail(ChannelFailure::Malformed);
    return false;
}

void TargetChannel::completeResponse(bool hasMoreBytes)
{
    // A response may arrive before the request was sent completely. The target would then read the
    // next request as the rest of this body, so the channel isn't reused.
    const bool reusable = m_reader.head().isKeepAlive && !m_reader.head().bodyEndsAtClose
        && m_connection->isOpen() && m_connection->unsentBytes() == 0 && !hasMoreBytes;
    TargetResponseEvents *events = std::exchange(m_events, nullptr);
    if (hasMoreBytes)
        m_owner.onUnexpectedResponse(*this);
    if (reusable) {
        m_idleSince = m_loop.now();
        m_owner.onChannelIdle(*this);
    } else {
        close();
    }
    events->onResponseComplete();
}

void TargetChannel::onEnd(CloseReason end)
{
    m_loop.cancel(m_connectTimer);
    const bool isWhole = m_events && !m_isUnexpected && m_headReported
        && end == CloseReason::PeerClosed && m_reader.finish().has_value();
    if (isWhole) {
        TargetResponseEvents *events = std::exchange(m_events, nullptr);
        m_owner.onChannelClosed(*this);
        events->onResponseComplete();
        return;
    }
    fail(m_connected ? ChannelFailure::Broken : ChannelFailure::NotConnected);
}

void TargetChannel::fail(ChannelFailure failure)
{
    m_loop.cancel(m_connectTimer);
    TargetResponseEvents *events = std::exchange(m_events, nullptr);
    m_owner.onChannelClosed(*this);
    if (events)
        events->onResponseFailed(failure);
}

} // namespace Apricothook
