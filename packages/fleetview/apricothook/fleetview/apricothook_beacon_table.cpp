#include <apricothook/fleetview/apricothook_beacon_table.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

namespace {

std::vector<BeaconUse> newlyAdmitted(const std::vector<BeaconUse> &before,
                                     const std::vector<BeaconUse> &after)
{
    std::vector<BeaconUse> difference;
    for (const BeaconUse &use : after) {
        const auto known = std::ranges::find(before, use.customer, &BeaconUse::customer);
        const std::uint64_t had = known == before.end() ? 0 : known->admitted;
        if (use.admitted > had)
            difference.push_back({use.customer, use.admitted - had});
    }
    return difference;
}

} // namespace

BeaconTable::BeaconTable(MemberId self, Endpoint ownAddress, std::vector<Endpoint> seeds)
    : m_self(std::move(self)), m_own(std::move(ownAddress)), m_seeds(std::move(seeds))
{
}

BeaconEffect BeaconTable::take(const Beacon &beacon, Instant now)
{
    BeaconEffect effect;
    if (beacon.member == m_self)
        return effect;
    const bool isKnown = m_members.contains(beacon.member);
    Member &member = m_members[beacon.member];
    const auto age = [](const Beacon &of) { return std::tuple(of.incarnation, of.sequence); };
    const bool isOther = beacon.incarnation != member.last.incarnation;
    const bool isSuccessor = isOther && now - member.heard > OldBeaconTime;
    if (isKnown && !isSuccessor && age(beacon) <= age(member.last))
        return effect;
    effect.isNews = true;
    effect.isNewProcess = !isKnown || beacon.incarnation != member.last.incarnation;
    effect.isBack = !member.isHeard;
    // A new process counts from zero; what its first beacon tells was admitted since its start.
    const std::vector<BeaconUse> before
        = effect.isNewProcess ? std::vector<BeaconUse>() : member.last.use;
    // What a member admitted before this daemon knew it lies in the past of its own limits.
    if (isKnown)
        effect.admitted = newlyAdmitted(before, beacon.use);
    member = {beacon, now, true};
    noteOthers(beacon, now);
    return effect;
}

void BeaconTable::noteOthers(const Beacon &beacon, Instant now)
{
    for (const Endpoint &address : beacon.others) {
        if (address != m_own)
            m_told[address] = now;
    }
}

std::vector<MemberId> BeaconTable::noteSilent(Instant now)
{
    std::vector<MemberId> silent;
    for (auto &[id, member] : m_members) {
        if (member.isHeard && now - member.heard > SilenceLimit) {
            member.isHeard = false;
            silent.push_back(id);
        }
    }
    std::erase_if(m_members,
                  [now](const auto &entry) { return now - entry.second.heard > AddressLimit; });
    std::erase_if(m_told, [now](const auto &entry) { return now - entry.second > AddressLimit; });
    return silent;
}

std::vector<const Member *> BeaconTable::heard() const
{
    std::vector<const Member *> heard;
    for (const auto &[id, member] : m_members) {
        if (member.isHeard)
            heard.push_back(&member);
    }
    return heard;
}

std::size_t BeaconTable::knownCount(Instant now) const
{
    const auto known = std::ranges::count_if(m_members, [now](const auto &entry) {
        return entry.second.isHeard
            || (now - entry.second.heard <= KnownLimit && !entry.second.last.isLeaving);
    });
    return static_cast<std::size_t>(known) + 1;
}

std::set<Endpoint> BeaconTable::addresses(Instant now) const
{
    std::set<Endpoint> addresses(m_seeds.begin(), m_seeds.end());
    for (const auto &[id, member] : m_members)
        addresses.insert(member.last.beaconAddress);
    for (const auto &[address, told] : m_told) {
        if (now - told <= AddressLimit)
            addresses.insert(address);
    }
    addresses.erase(m_own);
    return addresses;
}

} // namespace Apricothook
