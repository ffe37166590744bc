#include <apricothook/fleetview/apricothook_reading_duty.hpp>

#include <algorithm>

namespace Apricothook {

void ReadingDuty::note(const ReaderNote &note, Instant now)
{
    std::erase_if(m_heard,
                  [now](const auto &entry) { return now - entry.second.at > SilenceLimit; });
    m_heard[note.sender.member] = {note, now};
}

std::size_t ReadingDuty::reaching(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_heard, [now](const auto &entry) {
        const MemberBrief &reader = entry.second.note.sender;
        return now - entry.second.at <= SilenceLimit && reader.reachesSource && !reader.isLeaving;
    }));
}

SourceContact ReadingDuty::contact(Instant now) const
{
    SourceContact contact;
    for (const auto &[member, heard] : m_heard) {
        if (now - heard.at > SilenceLimit)
            continue;
        contact.someReach |= heard.note.sender.reachesSource;
        contact.someLost |= heard.note.sender.hasLostSource;
    }
    return contact;
}

bool ReadingDuty::isToRead(const FleetDirectory &directory, const MemberBrief &self,
                           Instant now) const
{
    if (directory.isFleetReader(self, now))
        return true;
    const bool isRelieved = directory.cells() > 1 && reaching(now) >= FewestReaders;
    return !isRelieved && directory.isReader(self, now);
}

} // namespace Apricothook
