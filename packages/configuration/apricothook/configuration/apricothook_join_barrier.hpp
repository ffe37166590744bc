#pragma once

#include <apricothook/configuration/apricothook_configuration_limits.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <set>

namespace Apricothook {

/**
 * Decides when a starting daemon has asked widely enough to serve. It remembers nothing of its
 * earlier life, so a stale platform alone could bring an old configuration back into force; only
 * members that have one in force can tell.
 */
class JoinBarrier
{
public:
    JoinBarrier(const ConfigurationLimits &limits, std::size_t seeds, Instant start);

    void platformAnswered(bool isReachable);
    /** A member that has no configuration itself is heard, but proves nothing. */
    void peerAnswered(const MemberId &member, bool isConfigured);

    /** `others`: live members besides this one. */
    bool isOpen(std::size_t others, Instant now) const;
    bool hasEnoughPeers(std::size_t others) const;
    bool hasConfiguredPeer() const { return !m_configured.empty(); }
    bool hasPlatform() const { return m_platform == Platform::Answered; }

private:
    enum class Platform { Asked, Answered, Failed };

    ConfigurationLimits m_limits;
    std::size_t m_seeds;
    Instant m_end;
    Platform m_platform = Platform::Asked;
    std::set<MemberId> m_configured;
};

} // namespace Apricothook
