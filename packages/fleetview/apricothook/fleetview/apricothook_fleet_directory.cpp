#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <apricothook/fleetview/apricothook_cell_load_report.hpp>
#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace Apricothook {

namespace {

/** The smallest power of two that makes cells of LargestCell at most, on average. */
std::uint32_t cellsFor(std::size_t daemons)
{
    const std::size_t cells
        = (daemons + FleetDirectory::LargestCell - 1) / FleetDirectory::LargestCell;
    return static_cast<std::uint32_t>(std::bit_ceil(std::max<std::size_t>(cells, 1)));
}

/** Small VMs have the least processor time and bandwidth to spare for the others. */
bool readsBefore(const MemberInfo &one, const MemberInfo &other)
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
    // The upper bits, so that a cell falls into two when the number of cells doubles.
    constexpr int HashBits = 64;
    const int cellBits = std::countr_zero(m_cells);
    return cellBits == 0
        ? 0
        : static_cast<std::uint32_t>(hashOf(member.text()) >> (HashBits - cellBits));
}

void FleetDirectory::update(const MemberInfo &brief, Instant now)
{
    if (brief.member == m_self)
        return;
    const Instant heard = now - std::chrono::milliseconds(brief.age);
    const auto known = m_members.find(brief.member);
    if (known != m_members.end() && known->second.heard >= heard)
        return;
    if (known == m_members.end() || known->second.info.process != brief.process)
        m_news = now;
    m_members[brief.member] = {brief, heard, cellOf(brief.member)};
}

bool FleetDirectory::hasDiscoveredFleet(const std::vector<Endpoint> &seeds, const Endpoint &own,
                                        Instant now) const
{
    if (!m_started)
        return false;
    const auto isHeard = [&](const Endpoint &seed) {
        return seed == own || std::ranges::any_of(m_members, [&seed](const auto &entry) {
                   return entry.second.info.beaconAddress == seed;
               });
    };
    const Duration age = now - *m_started;
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(seeds, isHeard));
    if (2 * heard < seeds.size() + 1 && !seeds.empty())
        return age > LoneTime;
    const bool isQuiet = now - m_news.value_or(*m_started) > QuietTime;
    return age > LongestLearning || (age > QuietTime && isQuiet);
}

bool FleetDirectory::reachesSeedMajority(const std::vector<Endpoint> &seeds, const Endpoint &own,
                                         Instant now) const
{
    const auto isHeard = [&](const Endpoint &seed) {
        return seed == own || std::ranges::any_of(m_members, [&](const auto &entry) {
                   const KnownMember &member = entry.second;
                   return member.info.beaconAddress == seed && !member.info.isLeaving
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
                  [now](const auto &entry) { return now - entry.second.heard > AddressLimit; });
    const std::size_t known = knownCount(now);
    if (!mayHave(m_cells, known))
        setCells(cellsFor(known));
}

bool FleetDirectory::mayHave(std::uint32_t cells, std::size_t daemons)
{
    const auto fewest = static_cast<std::size_t>(JoiningPart * LargestCell * cells / 2);
    return daemons <= cells * LargestCell && (cells == 1 || daemons > fewest);
}

void FleetDirectory::adoptCellCount(std::uint32_t cells, Instant now)
{
    const bool isNumber = std::has_single_bit(cells) && cells > m_cells;
    if (isNumber && mayHave(cells, knownCount(now)))
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
    return std::max(ShortestSummaryPause, m_cells * SummaryPauseForEachCell);
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

Duration FleetDirectory::liveLimit(const KnownMember &member) const
{
    return member.cell == ownCell() ? Duration(OwnCellLimit) : otherCellLimit();
}

Duration FleetDirectory::otherCellLimit() const
{
    return OwnCellLimit + MissedSummaries * summaryPause();
}

bool FleetDirectory::isLive(const KnownMember &member, Instant now) const
{
    return now - member.heard <= liveLimit(member);
}

bool FleetDirectory::isRoutable(const KnownMember &member, Instant now) const
{
    return isLive(member, now) && now - member.heard <= LongestNamed;
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

std::vector<const KnownMember *> FleetDirectory::liveOfOwnCell(Instant now) const
{
    std::vector<const KnownMember *> live = membersOfCell(ownCell());
    std::erase_if(live, [&](const KnownMember *member) { return !isLive(*member, now); });
    return live;
}

bool FleetDirectory::isReader(const MemberInfo &self, Instant now) const
{
    std::size_t candidates = 0;
    std::size_t before = 0;
    std::size_t wanted = ReadersOfCell;
    for (const KnownMember *member : liveOfOwnCell(now)) {
        const MemberInfo &brief = member->info;
        // A source that turned one VM away in silence may do so to its successor, which would show
        // only after another time-out: too late for a change that was made in between.
        wanted += brief.hasLostSource ? 1 : 0;
        if (!brief.isReady || brief.isLeaving || brief.hasLostSource)
            continue;
        ++candidates;
        before += readsBefore(brief, self) ? 1 : 0;
    }
    const bool isCandidate = !self.hasLostSource && !self.isLeaving;
    if (candidates + (isCandidate ? 1 : 0) < ReadersOfCell)
        return true;
    return isCandidate && before < wanted;
}

bool FleetDirectory::mayServe(const KnownMember &member, Instant now) const
{
    return isLive(member, now) && member.info.isReady && !member.info.isLeaving;
}

bool FleetDirectory::isFleetReader(const MemberInfo &self, Instant now) const
{
    if (m_cells == 1 || self.isLeaving || self.hasLostSource)
        return false;
    const auto goesBefore = [&](const auto &entry) {
        const KnownMember &member = entry.second;
        return mayServe(member, now) && !member.info.hasLostSource
            && readsBefore(member.info, self);
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, goesBefore)) < ReadersOfFleet;
}

std::vector<Endpoint> FleetDirectory::readersOfOtherCells(Instant now) const
{
    std::vector<std::vector<const MemberInfo *>> cells(m_cells);
    for (const auto &[id, member] : m_members) {
        if (member.cell != ownCell() && mayServe(member, now))
            cells[member.cell].push_back(&member.info);
    }
    std::vector<Endpoint> readers;
    for (std::vector<const MemberInfo *> &cell : cells) {
        std::ranges::sort(
            cell, [](const auto *one, const auto *other) { return readsBefore(*one, *other); });
        cell.resize(std::min(cell.size(), ReadersOfCell));
        for (const MemberInfo *brief : cell)
            readers.push_back(brief->beaconAddress);
    }
    return readers;
}

SourceReachability FleetDirectory::sourceReachability(const MemberInfo &self, Instant now) const
{
    SourceReachability contact {self.reachesSource, self.hasLostSource};
    for (const KnownMember *member : liveOfOwnCell(now)) {
        contact.anyReachable |= member->info.reachesSource;
        contact.anyFailed |= member->info.hasLostSource;
    }
    return contact;
}

MemberInfo FleetDirectory::advertisedInfo(const KnownMember &member, Instant now)
{
    MemberInfo brief = member.info;
    brief.age = millisecondsOf(now - member.heard);
    return brief;
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
