#include <apricothook/fleetview/apricothook_reader_selection.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Apricothook;

namespace {

MemberInfo brief(std::size_t index)
{
    MemberInfo made;
    made.member = MemberId("vm-" + std::to_string(index));
    made.beaconAddress = {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
    made.isReady = true;
    made.reachesSource = true;
    made.capacity = index % 13 == 0 ? 50 : 12;
    return made;
}

/** The reading of all daemons of a fleet that know each other. */
class Fleet
{
public:
    explicit Fleet(std::size_t daemons)
    {
        for (std::size_t index = 0; index < daemons; ++index)
            m_directories.emplace_back(brief(index).member);
        m_duties.resize(daemons);
        m_isLost.resize(daemons);
        hear();
    }

    /** All hear of all; then those who read for the fleet tell the readers of the cells. */
    void hear()
    {
        for (std::size_t index = 0; index < m_directories.size(); ++index) {
            for (std::size_t other = 0; other < m_directories.size(); ++other)
                m_directories[index].update(told(other), m_clock.now());
            m_directories[index].review(m_clock.now());
        }
        for (std::size_t index = 0; index < m_directories.size(); ++index) {
            if (m_silent == index || !isFleetReader(index))
                continue;
            for (const Endpoint &to : m_directories[index].readersOfOtherCells(m_clock.now()))
                m_duties[to.port - 1U].recordAnnouncement({told(index), 1}, m_clock.now());
        }
    }
    void pass(std::chrono::milliseconds time)
    {
        m_clock.advance(time);
        hear();
    }
    std::size_t readers() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_directories.size(); ++index) {
            const bool reads
                = m_duties[index].shouldRead(m_directories[index], told(index), m_clock.now());
            count += reads ? 1 : 0;
        }
        return count;
    }
    std::size_t firstFleetReader() const
    {
        std::size_t index = 0;
        while (!isFleetReader(index))
            ++index;
        return index;
    }
    void lose(std::size_t index) { m_isLost[index] = true; }
    /** It lives for the others, but none of its notes arrives. */
    void silence(std::size_t index) { m_silent = index; }

private:
    MemberInfo told(std::size_t index) const
    {
        MemberInfo made = brief(index);
        made.hasLostSource = m_isLost[index];
        made.reachesSource = !made.hasLostSource;
        return made;
    }
    bool isFleetReader(std::size_t index) const
    {
        return m_directories[index].isFleetReader(told(index), m_clock.now());
    }

    ManualClock m_clock;
    std::vector<FleetDirectory> m_directories;
    std::vector<ReaderSelection> m_duties;
    std::vector<bool> m_isLost;
    std::optional<std::size_t> m_silent;
};

} // namespace

TEST_CASE("three daemons read for a fleet of many cells, however many these are")
{
    // The configuration service serves all daemons together some thousand calls a second, and each
    // change costs every reader one. With two readers in each cell 195 daemons had 64.
    for (const std::size_t daemons : {std::size_t {40}, std::size_t {195}, std::size_t {320}}) {
        CAPTURE(daemons);
        CHECK(Fleet(daemons).readers() == FleetDirectory::ReadersOfFleet);
    }
    CHECK(Fleet(9).readers() == FleetDirectory::ReadersOfCell);
}

TEST_CASE("cells read for themselves while they hear too few readers of the fleet")
{
    // Callers are served by a new configuration in time though readers die unheard of: word of a
    // member of another cell takes seconds, but its notes stop at once.
    Fleet fleet(195);
    fleet.silence(fleet.firstFleetReader());
    fleet.pass(ReaderSelection::AnnouncementInterval);
    CHECK(fleet.readers() == FleetDirectory::ReadersOfFleet);
    fleet.pass(ReaderSelection::SilenceLimit);
    // Two of three are still heard.
    CHECK(fleet.readers() == FleetDirectory::ReadersOfFleet);
    ReaderSelection unheard;
    ManualClock clock;
    CHECK(unheard.reachableReaders(clock.now()) == 0);
    CHECK_FALSE(unheard.sourceReachability(clock.now()).anyReachable);
}

TEST_CASE("a reader of the fleet that lost the source is replaced by the next")
{
    Fleet fleet(195);
    const std::size_t first = fleet.firstFleetReader();
    fleet.lose(first);
    fleet.pass(ReaderSelection::AnnouncementInterval);
    CHECK(fleet.firstFleetReader() != first);
    // Its own cell lets one more read, as the source may turn its successor away.
    CHECK(fleet.readers() <= FleetDirectory::ReadersOfFleet + FleetDirectory::ReadersOfCell);
}

TEST_CASE("what readers of the fleet tell counts for a second, and then for nothing")
{
    ManualClock clock;
    ReaderSelection duty;
    MemberInfo lost = brief(2);
    lost.reachesSource = false;
    lost.hasLostSource = true;
    duty.recordAnnouncement({brief(1), 5}, clock.now());
    duty.recordAnnouncement({lost, 5}, clock.now());
    CHECK(duty.reachableReaders(clock.now()) == 1);
    CHECK(duty.sourceReachability(clock.now()) == SourceReachability {true, true});
    clock.advance(ReaderSelection::SilenceLimit + std::chrono::milliseconds(1));
    CHECK(duty.reachableReaders(clock.now()) == 0);
    CHECK(duty.sourceReachability(clock.now()) == SourceReachability {false, false});
}
