#include <apricothook/gateway/internal/apricothook_attempt.hpp>

namespace Apricothook {

Attempt::Attempt(AttemptEvents &events, const TargetEntry &to, Instant now)
    : target(to), started(now), m_events(events)
{
}

void Attempt::start(const RequestKey &request, bool isHeadResponse)
{
    TargetResponseEvents &events = *this;
    channel->start(request, isHeadResponse, events);
}

AttemptLoss Attempt::loss() const
{
    if (!isSent)
        return AttemptLoss::NotConnected;
    return hasHead ? AttemptLoss::CutShort : AttemptLoss::Unanswered;
}

WrittenRequest Attempt::writeRequest()
{
    return m_events.writeRequest(*this);
}

void Attempt::onResponseHead(const ResponseHead &received, const TargetResponseFields &fields)
{
    m_events.onResponseHead(*this, received, fields);
}

void Attempt::onResponseBody(std::string_view bytes)
{
    m_events.onResponseBody(*this, bytes);
}

void Attempt::onResponseComplete()
{
    m_events.onResponseComplete(*this);
}

void Attempt::onResponseFailed(ChannelFailure failure)
{
    m_events.onResponseFailed(*this, failure);
}

} // namespace Apricothook
