#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

HeartbeatChange HeartbeatTable::apply(const Heartbeat &beacon, Instant now)
{
    HeartbeatChange effect;
    const MemberId &sender = beacon.sender.member;
    if (sender == m_self)
        return effect;
    const std::uint64_t number = memberHash(sender);
    const bool isKnown = m_mates.contains(number);
    CellPeer &mate = m_mates[number];
    const auto age = [](const CellLoadReport &of) { return std::tuple(of.process, of.sequence); };
    const bool isOther = beacon.report.process != mate.report.process;
    const bool isSuccessor = isOther && now - mate.heard > OldBeaconTime;
    if (isKnown && !isSuccessor && age(beacon.report) <= age(mate.report))
        return effect;
    effect.isNewer = true;
    effect.isNewProcess = !isKnown || isOther;
    effect.hasReturned = !mate.isLive;
    mate = {beacon.sender, beacon.report, now, true};
    return effect;
}

HeartbeatChange HeartbeatTable::apply(const CellLoadReport &report, Instant now)
{
    const auto known = m_mates.find(report.member);
    if (known == m_mates.end())
        return {};
    CellPeer &mate = known->second;
    if (report.process != mate.report.process || report.sequence <= mate.report.sequence)
        return {};
    HeartbeatChange effect;
    effect.isNewer = true;
    effect.hasReturned = !mate.isLive;
    mate.report = report;
    mate.heard = now;
    mate.isLive = true;
    return effect;
}

std::vector<MemberId> HeartbeatTable::markSilent(Instant now)
{
    std::vector<MemberId> silent;
    for (auto &[number, mate] : m_mates) {
        if (mate.isLive && now - mate.heard > SilenceLimit) {
            mate.isLive = false;
            silent.push_back(mate.info.member);
        }
    }
    std::erase_if(m_mates,
                  [now](const auto &entry) { return now - entry.second.heard > MemoryLimit; });
    return silent;
}

const CellPeer *HeartbeatTable::find(const MemberId &member) const
{
    return find(memberHash(member));
}

const CellPeer *HeartbeatTable::find(std::uint64_t memberNumber) const
{
    const auto found = m_mates.find(memberNumber);
    return found == m_mates.end() ? nullptr : &found->second;
}

std::vector<const CellPeer *> HeartbeatTable::heard() const
{
    std::vector<const CellPeer *> heard;
    for (const auto &[number, mate] : m_mates) {
        if (mate.isLive)
            heard.push_back(&mate);
    }
    return heard;
}

} // namespace Apricothook
