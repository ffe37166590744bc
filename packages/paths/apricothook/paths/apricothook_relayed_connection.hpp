#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <functional>

namespace Apricothook {

/**
 * A connection to a target through another daemon, which only carries bytes.
 *
 * onConnected() is called when the target has accepted the other daemon's connection; nothing is
 * sent before. The target's bytes come in chunks, so that the orderly end of its connection is told
 * from the end of the other daemon's process, which would close its connections in order too.
 */
class RelayedConnection : public StreamConnection, private StreamSocketEvents
{
public:
    /** `opened` is called once, when it is known whether the target was reached. */
    RelayedConnection(EventLoop &loop, StreamSocketEvents &events, const Endpoint &relay,
                      const RelayRequest &request, const std::string &from,
                      std::function<void(RelayOutcome)> opened);

    void send(std::string_view bytes) override { m_socket.send(bytes); }
    void send(std::shared_ptr<const std::string> bytes) override
    {
        m_socket.send(std::move(bytes));
    }
    void setReading(bool reading) override { m_socket.setReading(reading); }
    std::size_t unsentBytes() const override { return m_socket.unsentBytes(); }
    bool isOpen() const override { return m_socket.isOpen(); }
    void abort() override { m_socket.abort(); }

private:
    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;
    void onDrained() override;

    /** False if the connection was refused, or closed by its owner. */
    bool processHead();
    void conclude(RelayOutcome outcome);
    void fail();

    StreamSocketEvents &m_events;
    const RelayRequest m_request;
    std::function<void(RelayOutcome)> m_opened;
    bool m_isOpened = false;
    ResponseReader m_reader {false};
    StreamSocket m_socket;
};

} // namespace Apricothook
