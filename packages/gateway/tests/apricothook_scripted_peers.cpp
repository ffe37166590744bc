#include <apricothook_scripted_peers.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

namespace Apricothook {

ScriptedTarget::ScriptedTarget(EventLoop &loop)
{
    m_listener = Listener::open(loop, {"127.0.0.1", 0}, [this, &loop](int descriptor) {
                     connections.push_back(std::make_unique<RecordingConnection>(loop, descriptor));
                     m_sources.push_back(peerAddressOf(descriptor));
                     connections.back()->answersTo = "GET / HTTP/1.1\r\nHost: probe\r\n\r\n";
                     if (m_cutOff.contains(m_sources.back()))
                         connections.back()->socket.abort();
                     else if (m_unread.contains(m_sources.back()))
                         connections.back()->socket.setReading(false);
                 }).value();
}

std::size_t ScriptedTarget::requests() const
{
    std::size_t count = 0;
    for (const std::unique_ptr<RecordingConnection> &connection : connections) {
        std::string_view bytes = connection->received;
        while (!bytes.empty()) {
            RequestReader reader({});
            const Result<std::size_t, MessageError> taken = reader.feed(bytes);
            if (!taken || !reader.isComplete())
                break;
            ++count;
            bytes.remove_prefix(taken.value());
        }
    }
    return count;
}

void ScriptedTarget::cutOff(const std::string &source)
{
    m_cutOff.insert(source);
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (m_sources[index] == source)
            connections[index]->socket.abort();
    }
}

void ScriptedTarget::stopReading(const std::string &source)
{
    m_unread.insert(source);
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (m_sources[index] == source)
            connections[index]->socket.setReading(false);
    }
}

void ScriptedTarget::resumeReading(const std::string &source)
{
    m_unread.erase(source);
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (m_sources[index] == source && connections[index]->socket.isOpen())
            connections[index]->socket.setReading(true);
    }
}

void ScriptedTarget::crash()
{
    m_listener.reset();
    for (const std::unique_ptr<RecordingConnection> &connection : connections)
        connection->socket.abort();
}

} // namespace Apricothook
