#include <apricothook/gateway/apricothook_target_channel.hpp>

#include <utility>

namespace Apricothook {

TargetChannel::TargetChannel(EventLoop &loop, const WireProtocol &dialect,
                             TargetChannelOwner &owner, const TargetEntry &target)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_owner(owner)
    , m_target(target)
    , m_socket(loop, *this, target.address)
{
    m_connectTimer = m_loop.after(ConnectTimeout, [this] {
        m_connectTimer = 0;
        m_socket.abort();
        fail(ChannelFailure::NotConnected);
    });
}

TargetChannel::~TargetChannel()
{
    m_loop.cancel(m_connectTimer);
}

void TargetChannel::start(const RequestKey &request, std::string_view bytes, bool answersHead,
                          TargetAnswerEvents &events)
{
    m_request = request;
    m_events = &events;
    m_answersHead = answersHead;
    m_strays = 0;
    resetAnswer();
    m_socket.setReading(true);
    m_socket.send(bytes);
}

void TargetChannel::resetAnswer()
{
    m_reader = ResponseReader(m_answersHead);
    m_headTold = false;
    m_isStray = false;
}

void TargetChannel::cancel()
{
    m_events = nullptr;
    close();
}

void TargetChannel::close()
{
    if (!m_socket.isOpen())
        return;
    m_loop.cancel(m_connectTimer);
    // A reset lets the target detect at once that the response is no longer needed.
    m_socket.abort();
    m_owner.onChannelClosed(*this);
}

void TargetChannel::onConnected()
{
    m_connected = true;
    m_loop.cancel(m_connectTimer);
}

void TargetChannel::onData(std::string_view bytes)
{
    if (m_events) {
        readAnswer(bytes);
        return;
    }
    m_owner.onStrayAnswer(*this);
    close();
}

void TargetChannel::readAnswer(std::string_view bytes)
{
    while (m_events && !bytes.empty()) {
        const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
        if (!taken) {
            m_socket.abort();
            fail(ChannelFailure::Malformed);
            return;
        }
        bytes.remove_prefix(taken.value());
        if (!takeHead())
            return;
        const std::string body = m_reader.takeBody();
        if (!m_isStray && !body.empty())
            m_events->onAnswerBody(body);
        // The handler may have cancelled the request.
        if (!m_events || !m_reader.isComplete())
            return;
        if (m_isStray)
            resetAnswer();
        else
            completeAnswer(!bytes.empty());
    }
}

bool TargetChannel::takeHead()
{
    if (m_headTold || !m_reader.hasHead())
        return m_headTold;
    m_headTold = true;
    const TargetResponseFields verdict = m_dialect.targetResponse(m_reader.head());
    if (verdict.keepAliveSeconds)
        m_kept = std::chrono::seconds(*verdict.keepAliveSeconds);
    m_isStray = !verdict.requestId.isEmpty() && verdict.requestId != m_request;
    if (!m_isStray) {
        m_events->onAnswerHead(m_reader.head(), verdict);
        return m_events != nullptr;
    }
    m_owner.onStrayAnswer(*this);
    if (++m_strays <= MostStrayAnswers)
        return true;
    m_socket.abort();
    fail(ChannelFailure::Malformed);
    return false;
}

void TargetChannel::completeAnswer(bool hasMoreBytes)
{
    // A response may arrive before the request was sent completely. The target would then read the
    // next request as the rest of this body, so the channel isn't reused.
    const bool reusable = m_reader.head().isKeepAlive && !m_reader.head().endsWithConnection
        && m_socket.isOpen() && m_socket.unsentBytes() == 0 && !hasMoreBytes;
    TargetAnswerEvents *events = std::exchange(m_events, nullptr);
    if (hasMoreBytes)
        m_owner.onStrayAnswer(*this);
    if (reusable) {
        m_idleSince = m_loop.now();
        m_owner.onChannelIdle(*this);
    } else {
        close();
    }
    events->onAnswerComplete();
}

void TargetChannel::onEnd(CloseReason end)
{
    m_loop.cancel(m_connectTimer);
    const bool isWhole = m_events && !m_isStray && m_headTold && end == CloseReason::PeerClosed
        && m_reader.finish().has_value();
    if (isWhole) {
        TargetAnswerEvents *events = std::exchange(m_events, nullptr);
        m_owner.onChannelClosed(*this);
        events->onAnswerComplete();
        return;
    }
    fail(m_connected ? ChannelFailure::Broken : ChannelFailure::NotConnected);
}

void TargetChannel::fail(ChannelFailure failure)
{
    m_loop.cancel(m_connectTimer);
    TargetAnswerEvents *events = std::exchange(m_events, nullptr);
    m_owner.onChannelClosed(*this);
    if (events)
        events->onAnswerFailed(failure);
}

} // namespace Apricothook
