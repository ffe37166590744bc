#include <apricothook/dispatch/apricothook_service_versions.hpp>

#include <algorithm>

namespace Apricothook {

void ServiceVersions::put(const TargetEntry &entry)
{
    ++m_versions[entry.service][entry.version].targets;
}

void ServiceVersions::remove(const TargetEntry &entry, Instant now)
{
    std::map<TargetVersion, Seen> &versions = m_versions[entry.service];
    Seen &seen = versions[entry.version];
    seen.targets -= std::min<std::size_t>(seen.targets, 1);
    seen.left = now;
    std::erase_if(versions, [now](const auto &version) {
        return version.second.targets == 0 && now - version.second.left > Memory;
    });
}

void ServiceVersions::confirm(Instant time)
{
    if (!m_unbrokenSince)
        m_unbrokenSince = m_isFirstStart ? Instant::min() : time;
    else if (time - m_confirmed > LongestGap)
        m_unbrokenSince = time;
    m_confirmed = std::max(m_confirmed, time);
}

std::optional<TargetVersion> ServiceVersions::soleVersion(const ServiceId &service, Instant from,
                                                          Instant until) const
{
    const auto versions = m_versions.find(service);
    if (!remembers(from) || m_confirmed < until || m_confirmed - from > Memory
        || versions == m_versions.end())
        return std::nullopt;
    std::optional<TargetVersion> sole;
    for (const auto &[version, seen] : versions->second) {
        if (seen.targets == 0 && seen.left < from)
            continue;
        if (sole)
            return std::nullopt;
        sole = version;
    }
    return sole;
}

} // namespace Apricothook
