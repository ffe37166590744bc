#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_probe_relays.hpp>

#include <algorithm>

namespace Apricothook {

bool ProbeRelays::add(const ProbeRelay &relay, Instant now)
{
    std::erase_if(m_relays, [now](const ProbeRelay &old) { return old.until < now; });
    if (m_relays.size() >= MaximumRelays)
        return false;
    m_relays.push_back(relay);
    return true;
}

std::optional<ProbeRelay> ProbeRelays::take(std::uint64_t sequence)
{
    const auto place
        = std::find_if(m_relays.begin(), m_relays.end(),
                       [sequence](const ProbeRelay &relay) { return relay.sequence == sequence; });
    if (place == m_relays.end())
        return std::nullopt;
    const ProbeRelay relay = *place;
    m_relays.erase(place);
    return relay;
}

} // namespace Apricothook
