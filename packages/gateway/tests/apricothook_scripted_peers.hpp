#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Apricothook {

/** The test's end of a connection: records the received bytes and how the connection ended. */
class RecordingConnection : public StreamSocketEvents
{
public:
    RecordingConnection(EventLoop &loop, int descriptor) : socket(loop, *this, descriptor) { }
    RecordingConnection(EventLoop &loop, const Endpoint &to) : socket(loop, *this, to) { }

    void onData(std::string_view bytes) override
    {
        received.append(bytes);
        if (!answersTo.empty() && received == answersTo)
            socket.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    }
    void onEnd(CloseReason how) override { end = how; }
    bool has(std::string_view text) const { return received.find(text) != std::string::npos; }

    std::string received;
    /** A request without an id, which is rejected. */
    std::string answersTo;
    std::optional<CloseReason> end;
    StreamSocket socket;
};

/** A listening target; the test sends the responses through its connections. */
class ScriptedTarget
{
public:
    explicit ScriptedTarget(EventLoop &loop);

    Endpoint address() const { return {"127.0.0.1", m_listener->port()}; }
    /** Number of complete requests received on all connections. */
    std::size_t requests() const;
    RecordingConnection &connection(std::size_t index) { return *connections.at(index); }
    /** Stops listening and resets all connections. */
    void crash();
    void stopListening() { m_listener.reset(); }
    /** Resets all connections from the address from now on. */
    void cutOff(const std::string &source);
    void mend(const std::string &source) { m_cutOff.erase(source); }
    /** Reads nothing on connections from the address from now on, and keeps them open. */
    void stopReading(const std::string &source);
    void resumeReading(const std::string &source);

    std::vector<std::unique_ptr<RecordingConnection>> connections;

private:
    std::unique_ptr<Listener> m_listener;
    std::set<std::string> m_cutOff;
    std::set<std::string> m_unread;
    /** Source address of each connection. */
    std::vector<std::string> m_sources;
};

} // namespace Apricothook
