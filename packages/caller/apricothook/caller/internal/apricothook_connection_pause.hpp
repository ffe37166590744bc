#pragma once

#include <functional>
#include <mutex>

struct MHD_Connection;

namespace Apricothook {

/**
 * Suspends one connection of libmicrohttpd while its answer has nothing to send, and resumes it
 * from any thread.
 *
 * Three races are closed by one lock, held over both the check and the suspension: a wake that
 * comes between them would be lost and the caller would wait for ever; a wake before the
 * suspension would resume a connection that runs; a wake after the exchange has ended would touch
 * a connection that is freed. A suspended connection can't end before it is resumed, so that
 * `m_connection` is good whenever `m_isSuspended` is true.
 */
class ConnectionPause
{
public:
    explicit ConnectionPause(MHD_Connection *connection) : m_connection(connection) { }

    /** In the connection's thread: suspends it unless `isReady` or broken off; true if it did. */
    bool pauseUnless(const std::function<bool()> &isReady);
    /** Resumes the connection if it is suspended. */
    void wake();
    /** The caller has gone, or the server stops: the connection is never suspended again. */
    void breakOff();
    bool isBroken() const;

private:
    void resumeLocked();

    mutable std::mutex m_mutex;
    MHD_Connection *const m_connection;
    bool m_isSuspended = false;
    bool m_isBroken = false;
};

} // namespace Apricothook
