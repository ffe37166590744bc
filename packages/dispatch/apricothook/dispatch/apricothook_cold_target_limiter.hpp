#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

namespace Apricothook {

/** How much a daemon knows about the fleet and its cold targets, in ascending order. */
enum class ColdView {
    Alone,    ///< The other daemons aren't known yet: nothing is sent to targets that may be cold.
    Doubtful, ///< Reports of cold targets may have been missed: every target is treated as cold.
    Outside,  ///< Cold targets are known, but others may not see this daemon: warm ones are used.
    Main,     ///< Cold targets are known, and most of the fleet is visible.
};

std::string_view nameOf(ColdView view);

/** Fleet state that determines which daemon may send to cold targets. */
struct ColdTargetSenders
{
    /**
     * memberHash() of every daemon that may be serving, including this one and daemons not heard
     * from recently. A silent daemon keeps its targets, because a successor could send to them at
     * the same time.
     */
    std::vector<std::uint64_t> members;
    ColdView view = ColdView::Alone;

    auto operator<=>(const ColdTargetSenders &) const = default;
};

/**
 * Decides which daemon sends requests to a target that has just started, and how many.
 *
 * A cold target that receives too many requests within a second crashes and loses all its running
 * requests; when a data centre returns, this happens to all its targets. Daemons learn of a cold
 * target at different times and see each other's sends too late to share its rate. Therefore a
 * single daemon, the first by rendezvous hashing, sends to it and limits the rate by its own sends.
 * This needs no message and no round trip, and the callers of one daemon generate about as many
 * requests as one target can take.
 *
 * Two daemons with different views of the membership may both rank themselves first, for example
 * right after one has joined. Each therefore uses half of the limit. A third sender would have to
 * know neither of the two while still hearing from most of the seeds and of the fleet.
 *
 * A daemon that receives neither messages from others nor published state can't know which targets
 * have become cold. The same holds for a daemon that has just started: a target's entry may predate
 * the end of an evacuation that the daemon never heard of. Such a daemon treats all targets as
 * cold. From the half of the limit that is left for a second sender it sends one request a second
 * to each target for which it ranks among the first N daemons, where N is that half in requests per
 * second.
 */
class ColdTargetLimiter
{
public:
    static constexpr std::uint32_t Unlimited = std::numeric_limits<std::uint32_t>::max();

    /**
     * `self`: memberHash() of this daemon, which is the only known member until setSenders() is
     * called.
     */
    explicit ColdTargetLimiter(std::uint64_t self = 0, const FleetBounds &bounds = {});

    void setServices(const std::vector<ServiceRule> &services);
    /** Returns false if nothing has changed. */
    bool setSenders(ColdTargetSenders senders);

    /**
     * Requests that this daemon may send to the target, given by its targetHash(), in any one
     * second.
     */
    std::uint32_t sendsPerSecond(const ServiceId &service, std::uint64_t target, bool isCold) const;
    /** Longest time for which a target of the service stays cold. */
    Duration coldTime(const ServiceId &service) const;
    /** Whether the service limits requests to its cold targets. */
    bool isLimited(const ServiceId &service) const;
    bool limitsAny() const { return !m_rules.empty(); }
    /** Whether targets that count as warm may have become cold unnoticed. */
    bool treatsAllAsCold() const { return m_senders.view < ColdView::Outside; }

private:
    /**
     * Up to two daemons rank themselves first: one by its own view of the members, one by
     * another's.
     */
    static constexpr double MaximumSenders = 2;

    struct Rule
    {
        Duration coldTime {};
        std::uint32_t sendsPerSecond = 0;
    };

    const Rule *ruleOf(const ServiceId &service) const;
    /** Number of members that rank before this one for the target. */
    std::uint32_t rankOf(std::uint64_t target) const;

    const std::uint64_t m_self;
    const FleetBounds m_bounds;
    ColdTargetSenders m_senders;
    /** Rules of the services that limit requests to their cold targets. */
    std::map<ServiceId, Rule> m_rules;
};

} // namespace Apricothook
