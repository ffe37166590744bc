#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Apricothook {

/** One accepted connection, in the hands of a test's script. */
class ScriptedConnection
{
public:
    explicit ScriptedConnection(int socket) : m_socket(socket) { }
    /** Reads one request with its body; empty when the client closed or the test ended. */
    std::string readRequest();
    /** Waits until the client closes or the test ends. */
    void waitForEnd();
    void send(const std::string &bytes) const;

private:
    int m_socket;
    std::string m_buffer;
};

/** A target on a raw socket of the loopback: one script for each connection, in a thread each. */
class ScriptedTarget
{
public:
    /** Gets the connection and its number, from 0; the connection closes when it returns. */
    using Script = std::function<void(ScriptedConnection &connection, int number)>;

    explicit ScriptedTarget(Script script);
    ~ScriptedTarget();
    const Endpoint &address() const { return m_address; }
    int connections() const { return m_connections; }

private:
    void acceptAll();

    Script m_script;
    Endpoint m_address;
    int m_listener;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

/** The requests that a target got, from all of its connections. */
class RequestLog
{
public:
    void add(const std::string &request);
    std::vector<std::string> all() const;
    /** How many begin with `start`. */
    int count(const std::string &start) const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
};

std::string chunk(const std::string &bytes);
/** The head of a chunked event stream. */
std::string streamHead(const std::string &boot = "1");
std::string plainAnswer(const std::string &statusLine, const std::string &headers,
                        const std::string &body);

} // namespace Apricothook
