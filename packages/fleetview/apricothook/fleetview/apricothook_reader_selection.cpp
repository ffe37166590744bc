#include <apricothook/fleetview/apricothook_reader_selection.hpp>

#include <algorithm>

namespace Apricothook {

void ReaderSelection::recordAnnouncement(const ReaderAnnouncement &note, Instant now)
{
    std::erase_if(m_heard,
                  [now](const auto &entry) { return now - entry.second.at > SilenceLimit; });
    m_heard[note.sender.member] = {note, now};
}

std::size_t ReaderSelection::reachableReaders(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_heard, [now](const auto &entry) {
        const MemberInfo &reader = entry.second.note.sender;
        return now - entry.second.at <= SilenceLimit && reader.reachesSource && !reader.isLeaving;
    }));
}

SourceReachability ReaderSelection::sourceReachability(Instant now) const
{
    SourceReachability contact;
    for (const auto &[member, heard] : m_heard) {
        if (now - heard.at > SilenceLimit)
            continue;
        contact.anyReachable |= heard.note.sender.reachesSource;
        contact.anyFailed |= heard.note.sender.hasLostSource;
    }
    return contact;
}

bool ReaderSelection::shouldRead(const FleetDirectory &directory, const MemberInfo &self,
                                 Instant now) const
{
    if (directory.isFleetReader(self, now))
        return true;
    const bool isRelieved = directory.cells() > 1 && reachableReaders(now) >= FewestReaders;
    return !isRelieved && directory.isReader(self, now);
}

} // namespace Apricothook
