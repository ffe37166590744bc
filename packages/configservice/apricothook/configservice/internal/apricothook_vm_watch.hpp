#pragma once

#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/internal/apricothook_duty.hpp>
#include <apricothook/configservice/internal/apricothook_platform_exchange.hpp>
#include <apricothook/configservice/internal/apricothook_seeded_random.hpp>

#include <atomic>
#include <string>

namespace Apricothook {

/** Reads the platform's list of VMs every few seconds while this daemon is a watcher. */
class VmWatch
{
public:
    VmWatch(PlatformSurroundings surroundings, std::string url, std::uint64_t seed,
            const PlatformPaceLimits &limits, const std::atomic<bool> &stop);
    void setWatching(bool isWatching);
    Duty &duty() { return m_duty; }

private:
    Duration work();
    bool read();

    PlatformSurroundings m_surroundings;
    std::string m_url;
    SeededRandom m_random;
    PlatformPace m_pace;
    PlatformExchange m_http;
    std::uint64_t m_givenRevision = 0;
    std::atomic<bool> m_isWatching {false};
    Duty m_duty;
};

} // namespace Apricothook
