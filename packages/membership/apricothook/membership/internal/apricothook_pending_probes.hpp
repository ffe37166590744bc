#pragma once

#include <apricothook/membership/internal/apricothook_probe_order.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** A probe that was sent and isn't answered. */
struct PendingProbe
{
    std::uint64_t sequence = 0;
    MemberUpdate subject;
    Distance distance = Distance::DataCentre;
    Instant sentAt {};
    /** Until others are asked to probe; the whole probe fails after a period or three of these. */
    Duration timeout {};
    bool isIndirect = false;
};

class PendingProbes
{
public:
    void add(PendingProbe probe);
    /** Ends the probe that a reply answers. */
    std::optional<PendingProbe> answer(std::uint64_t sequence, const MemberId &subject);
    /** Probes whose time-out has passed, each once. */
    std::vector<PendingProbe> takeOverdue(Instant now);
    /** Probes that failed for good. */
    std::vector<PendingProbe> takeFailed(Instant now);
    /** Starts every wait anew. */
    void refresh(Instant now);

private:
    std::vector<PendingProbe> m_probes;
};

} // namespace Apricothook
