#include <apricothook/ports/apricothook_system_clock.hpp>

#include <ctime>

namespace Apricothook {

Instant SystemClock::now() const
{
    // std::chrono::steady_clock stops while a VM is suspended. After a resume, outdated state would
    // look recent, and the daemon would rely on expired grants and departed members.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(since));
}

std::uint64_t SystemClock::wallMilliseconds() const
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since);
    return static_cast<std::uint64_t>(milliseconds.count());
}

} // namespace Apricothook
