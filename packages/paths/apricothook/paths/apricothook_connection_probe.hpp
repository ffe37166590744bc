#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/paths/apricothook_reach_evidence.hpp>

#include <functional>

namespace Apricothook {

/** A connection that tests whether an address accepts connections and keeps them. */
class ConnectionProbe : private StreamSocketEvents
{
public:
    /** Time after which an accepted connection counts as kept, and a missing answer as silence. */
    static constexpr std::chrono::milliseconds ProbeTime {150};

    /**
     * `changed` is called when the connection is accepted, and when it is refused or ends; it may
     * destroy the probe later.
     */
    ConnectionProbe(EventLoop &loop, const Endpoint &to, const std::string &from,
                    std::function<void()> changed = {});
    ~ConnectionProbe() override;
    ConnectionProbe(const ConnectionProbe &) = delete;
    ConnectionProbe &operator=(const ConnectionProbe &) = delete;

    /** Final once the connection has ended or ProbeTime has passed. */
    ProbeResult result() const;
    bool hasEnded() const { return m_hasEnded; }

private:
    void onConnected() override;
    void onData(std::string_view) override { }
    void onEnd(CloseReason) override;

    const std::function<void()> m_changed;
    bool m_isConnected = false;
    bool m_hasEnded = false;
    StreamSocket m_socket;
};

} // namespace Apricothook
