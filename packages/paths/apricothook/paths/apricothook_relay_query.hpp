#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <functional>

namespace Apricothook {

/** Asks another daemon whether it reaches a target. */
class RelayQuery : private StreamSocketEvents
{
public:
    /** The other daemon probes the target before it answers. */
    static constexpr std::chrono::milliseconds AnswerTime {400};

    /** `answered` is called once; the query may be destroyed after it. */
    RelayQuery(EventLoop &loop, const Endpoint &relay, const RelayRequest &request,
               const std::string &from, std::function<void(RelayOutcome)> answered);
    ~RelayQuery() override;
    RelayQuery(const RelayQuery &) = delete;
    RelayQuery &operator=(const RelayQuery &) = delete;

private:
    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(CloseReason) override { conclude(RelayOutcome::Failed); }

    void conclude(RelayOutcome outcome);

    EventLoop &m_loop;
    const RelayRequest m_request;
    std::function<void(RelayOutcome)> m_answered;
    ResponseReader m_reader {false};
    TimerId m_timer = 0;
    StreamSocket m_socket;
};

} // namespace Apricothook
