#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

namespace Apricothook {

/** What a daemon may rely on where targets may be cold; each relies on more than the one before. */
enum class ColdView {
    Alone,    ///< It doesn't know the others yet: it sends nothing to targets that may be cold.
    Doubtful, ///< A target may have become cold unheard: all are taken for cold.
    Outside,  ///< It knows which are cold, but may be out of the others' sight: it uses warm ones.
    Main,     ///< It knows that too, and hears most of the fleet.
};

std::string_view nameOf(ColdView view);

/** The fleet as far as it matters who sends to cold targets. */
struct ColdTargetSenders
{
    /**
     * memberHash() of every daemon that may be serving, heard of lately or not, this one among
     * them. One that is silent keeps its targets: whoever took them over could send beside it.
     */
    std::vector<std::uint64_t> members;
    ColdView view = ColdView::Alone;

    auto operator<=>(const ColdTargetSenders &) const = default;
};

/**
 * Decides which daemon sends to a target that has just started, and how much.
 *
 * A cold target that gets too many requests in a second crashes, and with it all that it works on;
 * after the return of a data centre all of its targets do. Daemons know of a cold target at other
 * moments and see each other's sends too late to share its rate. So only one of them sends to it,
 * the first by rendezvous hashing, and keeps the rate by what it sent itself. That takes no message
 * and no round trip, and a daemon's callers ask for about as much as one target can take.
 *
 * Two daemons whose views of the members differ may both take themselves for the first, as when one
 * has just joined. Each therefore uses half of the bound. A third would have to know neither of
 * them and still hear most of the seeds and of the fleet.
 *
 * A daemon that nothing reaches, neither the others nor what is published, can't know which targets
 * have become cold; nor can one that has just started, as an entry may be older than the end of an
 * evacuation that it never heard of. It takes all for cold, and of the half that a second sender
 * would have it sends one request a second to those targets for which it is among the first so
 * many.
 */
class ColdTargetLimiter
{
public:
    static constexpr std::uint32_t Unlimited = std::numeric_limits<std::uint32_t>::max();

    /** `self`: memberHash() of this daemon, which is alone until setFleet(). */
    explicit ColdTargetLimiter(std::uint64_t self = 0, const FleetBounds &bounds = {});

    void setServices(const std::vector<ServiceRule> &services);
    /** False when nothing has changed. */
    bool setFleet(ColdTargetSenders fleet);

    /** Requests that this daemon may send to the target, `targetHash()`, in any one second. */
    std::uint32_t mostInSecond(const ServiceId &service, std::uint64_t target, bool isCold) const;
    /** A target of the service that may have become cold may still be so after this. */
    Duration coldTime(const ServiceId &service) const;
    /** The service's cold targets must not get more than a few requests. */
    bool isBounded(const ServiceId &service) const;
    bool boundsAny() const { return !m_rules.empty(); }
    /** Targets that are warm may be so no longer. */
    bool doubtsAll() const { return m_fleet.view < ColdView::Outside; }

private:
    /** The first by one's own view, and the first by another's. */
    static constexpr double Senders = 2;

    struct Rule
    {
        Duration coldTime {};
        std::uint32_t mostInSecond = 0;
    };

    const Rule *ruleOf(const ServiceId &service) const;
    /** Members that go before this one at the target. */
    std::uint32_t before(std::uint64_t target) const;

    const std::uint64_t m_self;
    const FleetBounds m_bounds;
    ColdTargetSenders m_fleet;
    /** Of services whose cold targets are bounded. */
    std::map<ServiceId, Rule> m_rules;
};

} // namespace Apricothook
