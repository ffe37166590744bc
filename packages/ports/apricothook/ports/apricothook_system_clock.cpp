#include <apricothook/ports/apricothook_system_clock.hpp>

namespace Apricothook {

Instant SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::uint64_t SystemClock::wallMilliseconds() const
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since);
    return static_cast<std::uint64_t>(milliseconds.count());
}

} // namespace Apricothook
