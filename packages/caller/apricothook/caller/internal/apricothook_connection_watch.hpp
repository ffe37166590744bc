#pragma once

#include <apricothook/caller/apricothook_caller_limits.hpp>
#include <apricothook/caller/internal/apricothook_connection_pause.hpp>
#include <apricothook/caller/internal/apricothook_unique_descriptor.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** Numbers a connection; unlike descriptors, never reused in a process. */
using ConnectionNumber = std::uint64_t;

enum class WatchError { NoDescriptors };

/**
 * Knows every connection and notices what libmicrohttpd doesn't.
 *
 * - A caller that leaves while its connection is suspended: the library has then taken the socket
 *   out of its own epoll set, and its work would run on for nobody. The watch has an epoll set of
 *   its own that reports hang-ups only, at once and at no cost while nothing happens.
 * - Headers that drip in: the library's time-out starts anew at each byte. The watch shuts a
 *   connection down whose headers aren't whole in time.
 *
 * A caller that shuts down its sending side only counts as gone, as it can't be told from one
 * that closed its socket.
 */
class ConnectionWatch
{
public:
    using TooSlow = std::function<void()>;

    /** `tooSlow` is called from the watch's thread for each connection that it shuts down. */
    ConnectionWatch(const Clock &clock, TooSlow tooSlow);
    ~ConnectionWatch();

    Result<void, WatchError> start();
    void stop();
    void setHeaderTimeout(Duration timeout) { m_headerTimeout = timeout; }

    /** A connection that is over the limit is given little time. */
    ConnectionNumber add(int descriptor, bool isOverLimit);
    bool isOverLimit(ConnectionNumber connection) const;
    /** Call before the descriptor is closed. */
    void remove(ConnectionNumber connection);
    /** The headers are there; false when the caller has gone already or all were broken off. */
    bool beginRequest(ConnectionNumber connection, std::shared_ptr<ConnectionPause> pause);
    void endRequest(ConnectionNumber connection);
    /** Breaks off every request, now and from now on. */
    void breakOffAll();
    std::size_t size() const;

private:
    struct Watched
    {
        int descriptor = -1;
        Instant headersBy {};
        bool isOverLimit = false;
        bool isGone = false;
        std::shared_ptr<ConnectionPause> pause;
    };

    void run();
    void callerGone(ConnectionNumber connection);
    void shutSlowConnections();

    const Clock &m_clock;
    const TooSlow m_tooSlow;
    std::atomic<Duration> m_headerTimeout {CallerLimits().headerTimeout};
    UniqueDescriptor m_epoll;
    UniqueDescriptor m_wake;
    std::thread m_thread;

    mutable std::mutex m_mutex;
    std::unordered_map<ConnectionNumber, Watched> m_watched;
    ConnectionNumber m_last = 0;
    bool m_isClosed = false;
};

} // namespace Apricothook
