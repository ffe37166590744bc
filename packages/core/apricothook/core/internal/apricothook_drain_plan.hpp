#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <optional>

namespace Apricothook {

/**
 * How a daemon leaves: it is out of the lookups at once, serves until the answers of earlier
 * lookups have lapsed, then refuses new requests and waits for those in flight. Ending at once
 * would cut answers, and refusing at once would turn away callers who were told to come here.
 */
class DrainPlan
{
public:
    enum class Stage { Serving, Leaving, Closed, Done };

    /** `keptLookups`: how long callers may still come on an earlier lookup's answer. */
    void begin(Instant now, Duration keptLookups);
    /** Moves on as far as `now` and the open work allow; true when the stage changed. */
    bool advance(Instant now, std::size_t openWork);
    Stage stage() const { return m_stage; }
    std::optional<Instant> nextDue() const;

private:
    Stage m_stage = Stage::Serving;
    Instant m_closeAt {};
};

} // namespace Apricothook
