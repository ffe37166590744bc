#include <apricothook/gateway/internal/apricothook_silence_retry.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

SilenceRetry::~SilenceRetry()
{
    m_loop.cancel(m_timer);
}

void SilenceRetry::watch(Duration limit)
{
    m_isPaused = false;
    m_isPlacing = false;
    m_limit = limit;
    m_placementPause = FirstPlacementPause;
    m_lastSign = m_loop.now();
    startTimer(limit);
}

void SilenceRetry::onBytes()
{
    if (m_timer != 0)
        watch(m_limit);
}

void SilenceRetry::pause()
{
    m_loop.cancel(m_timer);
    m_isPaused = true;
}

void SilenceRetry::resume()
{
    if (!std::exchange(m_isPaused, false))
        return;
    // Nothing is watched if the request can't be retried.
    if (m_limit > Duration::zero())
        watch(m_limit);
}

void SilenceRetry::stop()
{
    m_loop.cancel(m_timer);
    m_limit = Duration::zero();
    m_isPaused = false;
    m_isPlacing = false;
}

void SilenceRetry::startTimer(Duration delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] {
        m_timer = 0;
        onTimer();
    });
}

void SilenceRetry::onTimer()
{
    if (m_backup)
        return;
    if (!m_host.onTargetSilent(m_loop.now() - m_lastSign, m_limit)) {
        startTimer(m_limit);
        return;
    }
    m_isPlacing = true;
    m_host.placeBackup();
}

void SilenceRetry::onPlacementRefused()
{
    m_isPlacing = false;
    waitToPlace();
}

void SilenceRetry::waitToPlace()
{
    startTimer(m_placementPause);
    m_placementPause
        = std::min(2 * m_placementPause, std::max<Duration>(m_limit, FirstPlacementPause));
}

void SilenceRetry::begin(std::unique_ptr<Attempt> backup)
{
    m_isPlacing = false;
    m_backup = std::move(backup);
}

} // namespace Apricothook
