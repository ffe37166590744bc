#include <apricothook/dispatch/apricothook_target_speed.hpp>

namespace Apricothook {

namespace {

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void TargetSpeed::addFirstEvent(std::uint64_t promptTokens, Duration took)
{
    firstEvent.add(milliseconds(took) / (static_cast<double>(promptTokens) + FixedWorkTokens));
}

void TargetSpeed::addGap(Duration gap)
{
    eventGap.add(milliseconds(gap));
}

void TargetSpeed::addEnd(Duration held, bool failed)
{
    if (!failed)
        hold.add(milliseconds(held));
    failures.add(failed ? 1 : 0);
}

} // namespace Apricothook
