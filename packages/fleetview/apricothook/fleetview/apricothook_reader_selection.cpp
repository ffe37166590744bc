#include <apricothook/fleetview/apricothook_reader_selection.hpp>

#include <algorithm>

namespace Apricothook {

void ReaderSelection::recordAnnouncement(const ReaderAnnouncement &announcement, Instant now)
{
    std::erase_if(m_announcements, [now](const auto &entry) {
        return now - entry.second.receivedAt > SilenceLimit;
    });
    m_announcements[announcement.sender.member] = {announcement, now};
}

std::size_t ReaderSelection::reachableReaders(Instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_announcements, [now](const auto &entry) {
            const MemberInfo &reader = entry.second.announcement.sender;
            return now - entry.second.receivedAt <= SilenceLimit && reader.reachesSource
                && !reader.isLeaving;
        }));
}

SourceReachability ReaderSelection::sourceReachability(Instant now) const
{
    SourceReachability reachability;
    for (const auto &[member, heard] : m_announcements) {
        if (now - heard.receivedAt > SilenceLimit)
            continue;
        reachability.anyReachable |= heard.announcement.sender.reachesSource;
        reachability.anyFailed |= heard.announcement.sender.hasLostSource;
    }
    return reachability;
}

bool ReaderSelection::shouldRead(const FleetDirectory &directory, const MemberInfo &self,
                                 Instant now) const
{
    if (directory.isFleetReader(self, now))
        return true;
    const bool isRelieved = directory.cells() > 1 && reachableReaders(now) >= RequiredFleetReaders;
    return !isRelieved && directory.isReader(self, now);
}

} // namespace Apricothook
