#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/gateway/internal/apricothook_attempt.hpp>

#include <memory>

namespace Apricothook {

/** The request whose target is watched. */
class SilenceRetryHost
{
public:
    virtual ~SilenceRetryHost() = default;
    /** Returns whether the request may be sent to another target as well. */
    virtual bool onTargetSilent(Duration silence, Duration limit) = 0;
    /** Looks for another target; begin() or onPlacementRefused() follows, perhaps at once. */
    virtual void placeBackup() = 0;
};

/**
 * Tries another target while that of a request is silent.
 *
 * A sound target may fall silent and go on; another one may not be found, refuse the request or be
 * silent too. So the silent attempt is kept until one of both targets answers.
 */
class SilenceRetry
{
public:
    /** Pause after which another target is looked for again; doubled each time, up to the limit. */
    static constexpr std::chrono::milliseconds FirstPlacementPause {250};

    SilenceRetry(EventLoop &loop, SilenceRetryHost &host) : m_loop(loop), m_host(host) { }
    ~SilenceRetry();
    SilenceRetry(const SilenceRetry &) = delete;
    SilenceRetry &operator=(const SilenceRetry &) = delete;

    /** The target was sent the request or has answered; it may be silent for `limit` from now on.
     */
    void watch(Duration limit);
    /** The target has sent a part of an event or response. */
    void onBytes();
    /** The target isn't read for a while, so its silence means nothing. */
    void pause();
    void resume();
    /** Ends the watch and the search for another target. A backup that was sent stays. */
    void stop();

    bool isPlacing() const { return m_isPlacing; }
    void onPlacementRefused();
    void begin(std::unique_ptr<Attempt> backup);
    /** The attempt beside that at the silent target; null if there is none. */
    Attempt *backup() const { return m_backup.get(); }
    /** Hands the backup over, which becomes the request's only attempt or is ended. */
    std::unique_ptr<Attempt> takeBackup() { return std::move(m_backup); }
    /** The backup failed; another one may follow. */
    void onBackupFailed() { waitToPlace(); }

private:
    void startTimer(Duration delay);
    void waitToPlace();
    void onTimer();

    EventLoop &m_loop;
    SilenceRetryHost &m_host;
    TimerId m_timer = 0;
    Duration m_limit {};
    Duration m_placementPause {};
    Instant m_lastSign {};
    bool m_isPaused = false;
    bool m_isPlacing = false;
    std::unique_ptr<Attempt> m_backup;
};

} // namespace Apricothook
