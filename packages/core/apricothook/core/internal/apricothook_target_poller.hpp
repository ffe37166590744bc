#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/steward/apricothook_steward.hpp>

#include <map>
#include <set>

namespace Apricothook {

/** Asks the engines of this daemon's shards for their load and cache events, every two seconds. */
class TargetPoller
{
public:
    TargetPoller(const Steward &steward, TargetPort &targets)
        : m_steward(steward), m_targets(targets)
    {
    }
    void tick(const FleetText &text, Instant now);
    void learn(const CacheEvents &events);
    /** Notes whether the engine can be reached; true when it couldn't be before. */
    bool isBack(const LoadReport &report);
    Instant nextDue() const { return m_due; }

private:
    const Steward &m_steward;
    TargetPort &m_targets;
    Instant m_due {};
    /** The last cache event that was seen of each engine. */
    std::map<TargetId, std::uint64_t> m_seen;
    std::set<TargetId> m_unreachable;
};

} // namespace Apricothook
