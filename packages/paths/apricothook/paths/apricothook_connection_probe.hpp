#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/paths/apricothook_reach_evidence.hpp>

#include <functional>

namespace Apricothook {

/** How this daemon tests a target. */
struct ProbeSetup
{
    /** The address of this VM to connect from. */
    std::string from;
    /** A request that a target answers without running anything. */
    std::string request;
};

/**
 * A connection that tests whether bytes pass to an address and back. The kernel of a target accepts
 * connections while its process stands still, and a path may carry nothing but handshakes.
 */
class ConnectionProbe : private StreamSocketEvents
{
public:
    /** Time after which a missing answer counts as silence. */
    static constexpr std::chrono::milliseconds ProbeTime {150};

    /**
     * `changed` is called when the first byte is received, and when the connection is refused or
     * ends; it may destroy the probe later.
     */
    ConnectionProbe(EventLoop &loop, const Endpoint &to, const ProbeSetup &setup,
                    std::function<void()> changed = {});
    ~ConnectionProbe() override;
    ConnectionProbe(const ConnectionProbe &) = delete;
    ConnectionProbe &operator=(const ConnectionProbe &) = delete;

    /** Final once it isn't Silent, or ProbeTime has passed. */
    ProbeResult result() const;

private:
    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;

    void conclude(ProbeResult result);

    const std::string m_request;
    const std::function<void()> m_changed;
    ProbeResult m_result = ProbeResult::Silent;
    StreamSocket m_socket;
};

} // namespace Apricothook
