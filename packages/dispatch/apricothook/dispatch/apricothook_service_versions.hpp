#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <map>
#include <optional>

namespace Apricothook {

/**
 * The versions that targets of each service had lately, by the published entries.
 *
 * What was published is known only as far as it is confirmed to be complete. After a gap between
 * two confirmations a target may have come and gone unseen, so the history begins anew.
 */
class ServiceVersions
{
public:
    /** Longest gap between confirmations; no target's entry is published for a shorter time. */
    static constexpr std::chrono::seconds LongestGap {2};
    /** Time for which a version is remembered after its last target. */
    static constexpr std::chrono::minutes Memory {60};

    /**
     * The whole fleet has just started for the first time: no target was used before the first
     * confirmation.
     */
    void beginAtFirstStart() { m_isFirstStart = true; }
    void put(const TargetEntry &entry);
    void remove(const TargetEntry &entry, Instant now);
    /** All that was published until `time` is known. */
    void confirm(Instant time);
    /** Whether all that was published since `from` is known, as far as it is confirmed. */
    bool remembers(Instant from) const { return m_unbrokenSince && *m_unbrokenSince <= from; }
    /**
     * The only version of the service's targets from `from` to `until`; empty if there was another
     * one, or none, or if that isn't known.
     */
    std::optional<TargetVersion> soleVersion(const ServiceId &service, Instant from,
                                             Instant until) const;

private:
    struct Seen
    {
        std::size_t targets = 0;
        /** When the last target left; only if there is none. */
        Instant left {};
    };

    std::map<ServiceId, std::map<TargetVersion, Seen>> m_versions;
    bool m_isFirstStart = false;
    std::optional<Instant> m_unbrokenSince;
    Instant m_confirmed {};
};

} // namespace Apricothook
