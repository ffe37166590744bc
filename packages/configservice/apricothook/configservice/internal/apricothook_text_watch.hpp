#pragma once

#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/apricothook_platform_event.hpp>
#include <apricothook/configservice/internal/apricothook_duty.hpp>
#include <apricothook/configservice/internal/apricothook_platform_exchange.hpp>
#include <apricothook/configservice/internal/apricothook_seeded_random.hpp>

#include <mutex>
#include <string>

namespace Apricothook {

/** Reads the platform's text when told to, and watches it while this daemon is a watcher. */
class TextWatch
{
public:
    TextWatch(PlatformSurroundings surroundings, std::string url, std::uint64_t seed,
              const PlatformPaceLimits &limits, const std::atomic<bool> &stop);
    void setWatching(bool isWatching, Generation after);
    void readOnce(Generation after);
    Duty &duty() { return m_duty; }

private:
    struct Wish
    {
        bool isWatching = false;
        bool wantsRead = false;
        Generation after;
    };
    enum class Reading { News, NoNews, Stale, Failed };

    Duration work();
    Wish takeWish();
    Reading read(const Wish &wish);
    Reading understand(const HttpAnswer &answer, Generation after);
    void record(PlatformEvent event, Generation generation);

    PlatformSurroundings m_surroundings;
    std::string m_url;
    PlatformPaceLimits m_limits;
    SeededRandom m_random;
    PlatformPace m_pace;
    PlatformExchange m_http;
    /** The highest revision that was given to the core, accepted or rejected. */
    Generation m_given;
    std::mutex m_mutex;
    Wish m_wish;
    Duty m_duty;
};

} // namespace Apricothook
