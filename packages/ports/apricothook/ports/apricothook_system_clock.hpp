#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** Clock that reads the system's clocks. */
class SystemClock : public Clock
{
public:
    Instant now() const override;
    std::uint64_t wallMilliseconds() const override;
};

} // namespace Apricothook
