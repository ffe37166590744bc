#include <apricothook/paths/apricothook_relay_query.hpp>

#include <utility>

namespace Apricothook {

RelayQuery::RelayQuery(EventLoop &loop, const Endpoint &relay, const RelayRequest &request,
                       const std::string &from, std::function<void(RelayOutcome)> answered)
    : m_loop(loop)
    , m_request(request)
    , m_answered(std::move(answered))
    , m_socket(loop, *this, relay, from)
{
    m_timer = m_loop.after(AnswerTime, [this] {
        m_timer = 0;
        conclude(RelayOutcome::Failed);
    });
}

RelayQuery::~RelayQuery()
{
    m_loop.cancel(m_timer);
}

void RelayQuery::onConnected()
{
    m_socket.send(writeRequestHead(writeRelayRequest(m_request), {}));
}

void RelayQuery::onData(std::string_view bytes)
{
    const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
    if (!taken)
        conclude(RelayOutcome::Failed);
    else if (m_reader.hasHead())
        conclude(relayOutcomeOf(m_reader.head().status));
}

void RelayQuery::conclude(RelayOutcome outcome)
{
    m_loop.cancel(m_timer);
    m_socket.abort();
    if (const auto answered = std::exchange(m_answered, nullptr))
        answered(outcome);
}

} // namespace Apricothook
