#include <apricothook/dispatch/apricothook_sound_traits.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

void SoundTraits::record(std::uint64_t trait, Instant began)
{
    const Instant latest = std::max(lastBegan(trait).value_or(began), began);
    if (!m_recent.contains(trait) && m_recent.size() >= Capacity)
        m_older = std::exchange(m_recent, {});
    m_recent[trait] = latest;
}

std::optional<Instant> SoundTraits::lastBegan(std::uint64_t trait) const
{
    for (const Times *times : {&m_recent, &m_older}) {
        if (const auto found = times->find(trait); found != times->end())
            return found->second;
    }
    return std::nullopt;
}

bool SoundTraits::isSoundSince(std::uint64_t trait, Instant time) const
{
    const std::optional<Instant> began = lastBegan(trait);
    return began && *began >= time;
}

} // namespace Apricothook
