#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <apricothook/fleetview/apricothook_cell_load_report.hpp>
#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace Apricothook {

namespace {

/** Smallest power of two with which a cell has at most LargestCell daemons on average. */
std::uint32_t cellsFor(std::size_t daemons)
{
    const std::size_t cells
        = (daemons + FleetDirectory::LargestCell - 1) / FleetDirectory::LargestCell;
    return static_cast<std::uint32_t>(std::bit_ceil(std::max<std::size_t>(cells, 1)));
}

/**
 * Orders readers by capacity, as small VMs have the least processor time and bandwidth to spare.
 */
bool hasReadPriority(const MemberInfo &one, const MemberInfo &other)
{
    return std::tuple(other.capacity, memberHash(one.member))
        < std::tuple(one.capacity, memberHash(other.member));
}

std::uint32_t millisecondsOf(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    constexpr std::int64_t Most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, Most));
}

} // namespace

FleetDirectory::FleetDirectory(MemberId self) : m_self(std::move(self)) { }

std::uint32_t FleetDirectory::cellOf(const MemberId &member) const
{
    // The upper bits are used, so that each cell splits in two when the number of cells doubles.
    constexpr int HashBits = 64;
    const int cellBits = std::countr_zero(m_cells);
    return cellBits == 0
        ? 0
        : static_cast<std::uint32_t>(hashOf(member.text()) >> (HashBits - cellBits));
}

void FleetDirectory::update(const MemberInfo &info, Instant now)
{
    if (info.member == m_self)
        return;
    const Instant heard = now - std::chrono::milliseconds(info.age);
    const auto known = m_members.find(info.member);
    if (known != m_members.end() && known->second.heard >= heard)
        return;
    if (known == m_members.end() || known->second.info.process != info.process)
        m_lastDiscovery = now;
    m_members[info.member] = {info, heard, cellOf(info.member)};
}

bool FleetDirectory::hasDiscoveredFleet(const std::vector<Endpoint> &seeds, const Endpoint &own,
                                        Instant now) const
{
    if (!m_started)
        return false;
    const auto isHeard = [&](const Endpoint &seed) {
        return seed == own || std::ranges::any_of(m_members, [&seed](const auto &entry) {
                   return entry.second.info.peerAddress == seed;
               });
    };
    const Duration age = now - *m_started;
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(seeds, isHeard));
    if (2 * heard < seeds.size() + 1 && !seeds.empty())
        return age > SeedTimeout;
    const bool isQuiet = now - m_lastDiscovery.value_or(*m_started) > DiscoveryQuietTime;
    return age > LongestDiscovery || (age > DiscoveryQuietTime && isQuiet);
}

bool FleetDirectory::reachesSeedMajority(const std::vector<Endpoint> &seeds, const Endpoint &own,
                                         Instant now) const
{
    const auto isHeard = [&](const Endpoint &seed) {
        return seed == own || std::ranges::any_of(m_members, [&](const auto &entry) {
                   const KnownMember &member = entry.second;
                   return member.info.peerAddress == seed && !member.info.isLeaving
                       && isLive(member, now);
               });
    };
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(seeds, isHeard));
    return seeds.empty() || 2 * heard > seeds.size();
}

void FleetDirectory::review(Instant now)
{
    m_started = m_started.value_or(now);
    std::erase_if(m_members,
                  [now](const auto &entry) { return now - entry.second.heard > AddressRetention; });
    const std::size_t known = knownCount(now);
    if (!isValidCellCount(m_cells, known))
        setCells(cellsFor(known));
}

bool FleetDirectory::isValidCellCount(std::uint32_t cells, std::size_t daemons)
{
    const auto fewest = static_cast<std::size_t>(HalvingThreshold * LargestCell * cells / 2);
    return daemons <= cells * LargestCell && (cells == 1 || daemons > fewest);
}

void FleetDirectory::adoptCellCount(std::uint32_t cells, Instant now)
{
    const bool isNumber = std::has_single_bit(cells) && cells > m_cells;
    if (isNumber && isValidCellCount(cells, knownCount(now)))
        setCells(cells);
}

void FleetDirectory::setCells(std::uint32_t cells)
{
    if (cells == m_cells)
        return;
    m_cells = cells;
    for (auto &[id, member] : m_members)
        member.cell = cellOf(id);
}

std::chrono::milliseconds FleetDirectory::summaryPause() const
{
    return std::max(ShortestSummaryInterval, m_cells * SummaryIntervalPerCell);
}

std::vector<const KnownMember *> FleetDirectory::membersOfCell(std::uint32_t cell) const
{
    std::vector<const KnownMember *> members;
    for (const auto &[id, member] : m_members) {
        if (member.cell == cell)
            members.push_back(&member);
    }
    return members;
}

Duration FleetDirectory::silenceLimit(const KnownMember &member) const
{
    return member.cell == ownCell() ? Duration(OwnCellSilenceLimit) : otherCellLimit();
}

Duration FleetDirectory::otherCellLimit() const
{
    return OwnCellSilenceLimit + ToleratedSummaryLosses * summaryPause();
}

bool FleetDirectory::isLive(const KnownMember &member, Instant now) const
{
    return now - member.heard <= silenceLimit(member);
}

bool FleetDirectory::isRoutable(const KnownMember &member, Instant now) const
{
    return isLive(member, now) && now - member.heard <= LongestRoutableSilence;
}

bool FleetDirectory::isKnown(const KnownMember &member, Instant now) const
{
    return isLive(member, now) || (now - member.heard <= KnownLimit && !member.info.isLeaving);
}

std::size_t FleetDirectory::liveCount(Instant now) const
{
    const auto isHeard = [&](const auto &entry) { return isLive(entry.second, now); };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, isHeard)) + 1;
}

std::size_t FleetDirectory::knownCount(Instant now) const
{
    const auto counts = [&](const auto &entry) { return isKnown(entry.second, now); };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, counts)) + 1;
}

CellWeights FleetDirectory::weights(Instant now) const
{
    CellWeights cells {std::vector<std::uint32_t>(m_cells, 0), ownCell()};
    cells.weights[cells.own] = 1;
    for (const auto &[id, member] : m_members) {
        if (isLive(member, now) && member.info.isReady && !member.info.isLeaving)
            ++cells.weights[member.cell];
    }
    return cells;
}

std::vector<const KnownMember *> FleetDirectory::liveMembersOfOwnCell(Instant now) const
{
    std::vector<const KnownMember *> live = membersOfCell(ownCell());
    std::erase_if(live, [&](const KnownMember *member) { return !isLive(*member, now); });
    return live;
}

bool FleetDirectory::isReader(const MemberInfo &self, Instant now) const
{
    std::size_t candidates = 0;
    std::size_t ahead = 0;
    std::size_t wanted = ReadersPerCell;
    for (const KnownMember *member : liveMembersOfOwnCell(now)) {
        const MemberInfo &info = member->info;
        // A source that silently drops the requests of one VM may do the same to its successor.
        // This would be noticed only after another timeout, too late for a change made in between,
        // so an additional daemon reads for each one that has lost the source.
        wanted += info.hasLostSource ? 1 : 0;
        if (!info.isReady || info.isLeaving || info.hasLostSource)
            continue;
        ++candidates;
        ahead += hasReadPriority(info, self) ? 1 : 0;
    }
    const bool isCandidate = !self.hasLostSource && !self.isLeaving;
    if (candidates + (isCandidate ? 1 : 0) < ReadersPerCell)
        return true;
    return isCandidate && ahead < wanted;
}

bool FleetDirectory::isServing(const KnownMember &member, Instant now) const
{
    return isLive(member, now) && member.info.isReady && !member.info.isLeaving;
}

bool FleetDirectory::isFleetReader(const MemberInfo &self, Instant now) const
{
    if (m_cells == 1 || self.isLeaving || self.hasLostSource)
        return false;
    const auto isAhead = [&](const auto &entry) {
        const KnownMember &member = entry.second;
        return isServing(member, now) && !member.info.hasLostSource
            && hasReadPriority(member.info, self);
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, isAhead)) < FleetReaders;
}

std::vector<Endpoint> FleetDirectory::readersOfOtherCells(Instant now) const
{
    std::vector<std::vector<const MemberInfo *>> cells(m_cells);
    for (const auto &[id, member] : m_members) {
        if (member.cell != ownCell() && isServing(member, now))
            cells[member.cell].push_back(&member.info);
    }
    std::vector<Endpoint> readers;
    for (std::vector<const MemberInfo *> &cell : cells) {
        std::ranges::sort(
            cell, [](const auto *one, const auto *other) { return hasReadPriority(*one, *other); });
        cell.resize(std::min(cell.size(), ReadersPerCell));
        for (const MemberInfo *info : cell)
            readers.push_back(info->peerAddress);
    }
    return readers;
}

SourceReachability FleetDirectory::sourceReachability(const MemberInfo &self, Instant now) const
{
    SourceReachability contact {self.reachesSource, self.hasLostSource};
    for (const KnownMember *member : liveMembersOfOwnCell(now)) {
        contact.anyReachable |= member->info.reachesSource;
        contact.anyFailed |= member->info.hasLostSource;
    }
    return contact;
}

MemberInfo FleetDirectory::advertisedInfo(const KnownMember &member, Instant now)
{
    MemberInfo info = member.info;
    info.age = millisecondsOf(now - member.heard);
    return info;
}

std::vector<MemberInfo> FleetDirectory::sample(std::size_t most, RandomSource &random,
                                               Instant now) const
{
    std::vector<MemberInfo> sample;
    std::size_t left = m_members.size();
    for (const auto &[id, member] : m_members) {
        const std::size_t wanted = most - sample.size();
        if (random.next() % left-- < wanted)
            sample.push_back(advertisedInfo(member, now));
    }
    return sample;
}

} // namespace Apricothook
