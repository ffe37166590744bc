#include <apricothook/fleetview/apricothook_beacon_table.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

BeaconEffect BeaconTable::take(const Beacon &beacon, Instant now)
{
    BeaconEffect effect;
    const MemberId &sender = beacon.sender.member;
    if (sender == m_self)
        return effect;
    const std::uint64_t number = memberNumber(sender);
    const bool isKnown = m_mates.contains(number);
    CellMate &mate = m_mates[number];
    const auto age = [](const CellReport &of) { return std::tuple(of.process, of.sequence); };
    const bool isOther = beacon.report.process != mate.report.process;
    const bool isSuccessor = isOther && now - mate.heard > OldBeaconTime;
    if (isKnown && !isSuccessor && age(beacon.report) <= age(mate.report))
        return effect;
    effect.isNews = true;
    effect.isNewProcess = !isKnown || isOther;
    effect.isBack = !mate.isHeard;
    mate = {beacon.sender, beacon.report, now, true};
    return effect;
}

BeaconEffect BeaconTable::take(const CellReport &report, Instant now)
{
    const auto known = m_mates.find(report.member);
    if (known == m_mates.end())
        return {};
    CellMate &mate = known->second;
    if (report.process != mate.report.process || report.sequence <= mate.report.sequence)
        return {};
    BeaconEffect effect;
    effect.isNews = true;
    effect.isBack = !mate.isHeard;
    mate.report = report;
    mate.heard = now;
    mate.isHeard = true;
    return effect;
}

std::vector<MemberId> BeaconTable::noteSilent(Instant now)
{
    std::vector<MemberId> silent;
    for (auto &[number, mate] : m_mates) {
        if (mate.isHeard && now - mate.heard > SilenceLimit) {
            mate.isHeard = false;
            silent.push_back(mate.brief.member);
        }
    }
    std::erase_if(m_mates,
                  [now](const auto &entry) { return now - entry.second.heard > MemoryLimit; });
    return silent;
}

const CellMate *BeaconTable::find(const MemberId &member) const
{
    return find(memberNumber(member));
}

const CellMate *BeaconTable::find(std::uint64_t memberNumber) const
{
    const auto found = m_mates.find(memberNumber);
    return found == m_mates.end() ? nullptr : &found->second;
}

std::vector<const CellMate *> BeaconTable::heard() const
{
    std::vector<const CellMate *> heard;
    for (const auto &[number, mate] : m_mates) {
        if (mate.isHeard)
            heard.push_back(&mate);
    }
    return heard;
}

} // namespace Apricothook
