#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>

namespace Apricothook {

/**
 * Which services have lost targets lately, as far as this daemon knows: from its own sends, or from
 * the published list of targets, in which every restart shows as a new instance.
 *
 * The requests of such a service are sent with permits. A daemon that has just started and whose
 * fleet remembers nothing can't know, so all services count as unsettled for a while.
 */
class ServiceLosses
{
public:
    /** Time after a loss for which requests need permits. */
    static constexpr std::chrono::seconds UnsettledTime {60};
    /** The same time after a start of the whole fleet. */
    static constexpr std::chrono::seconds UnsettledAfterStart {30};
    /** Time after the start within which the list of targets is read for the first time. */
    static constexpr std::chrono::seconds FirstList {3};

    explicit ServiceLosses(Instant started) : m_started(started) { }

    /** A target of the service dropped a request; it isn't known why. */
    void recordDrop(const ServiceId &service, Instant now) { m_dropped[service] = now; }
    /** A target of the service crashed, left without being drained, or started. */
    void recordLoss(const ServiceId &service, Instant now);
    /** `remembersSince`: when the memory of the fleet's suspect requests began. */
    bool isUnsettled(const ServiceId &service, Instant remembersSince, Instant now) const;
    /** The last loss; the epoch if none is known. */
    Instant lastLoss(const ServiceId &service) const;

private:
    static bool isRecent(const std::map<ServiceId, Instant> &times, const ServiceId &service,
                         Instant now);

    const Instant m_started;
    std::map<ServiceId, Instant> m_dropped;
    std::map<ServiceId, Instant> m_lost;
};

} // namespace Apricothook
