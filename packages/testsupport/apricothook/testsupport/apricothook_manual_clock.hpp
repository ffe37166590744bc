#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <atomic>

namespace Apricothook {

/** Clock that only the test advances; may be read by other threads. */
class ManualClock : public Clock
{
public:
    /** Not zero, so that it differs from an unset time. */
    static constexpr Duration Start = std::chrono::seconds(1000);

    Instant now() const override { return Instant(Duration(m_microseconds)); }
    std::uint64_t wallMilliseconds() const override { return m_microseconds / 1000; }
    void advance(Duration by) { m_microseconds += by.count(); }

private:
    std::atomic<std::int64_t> m_microseconds = Start.count();
};

} // namespace Apricothook
