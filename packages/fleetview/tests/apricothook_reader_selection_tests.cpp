#include <apricothook/fleetview/apricothook_reader_selection.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Apricothook;

namespace {

MemberInfo memberInfo(std::size_t index)
{
    MemberInfo info;
    info.member = MemberId("vm-" + std::to_string(index));
    info.peerAddress = {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
    info.isReady = true;
    info.reachesSource = true;
    info.capacity = index % 13 == 0 ? 50 : 12;
    return info;
}

/** A fleet in which all daemons know each other and decide which of them read at the source. */
class Fleet
{
public:
    explicit Fleet(std::size_t daemons)
    {
        for (std::size_t index = 0; index < daemons; ++index)
            m_directories.emplace_back(memberInfo(index).member);
        m_selections.resize(daemons);
        m_hasLostSource.resize(daemons);
        hear();
    }

    /**
     * Exchanges heartbeats among all daemons, then announcements from fleet readers to cell
     * readers.
     */
    void hear()
    {
        for (std::size_t index = 0; index < m_directories.size(); ++index) {
            for (std::size_t other = 0; other < m_directories.size(); ++other)
                m_directories[index].update(advertised(other), m_clock.now());
            m_directories[index].review(m_clock.now());
        }
        for (std::size_t index = 0; index < m_directories.size(); ++index) {
            if (m_muted == index || !isFleetReader(index))
                continue;
            for (const Endpoint &to : m_directories[index].readersOfOtherCells(m_clock.now()))
                m_selections[to.port - 1U].recordAnnouncement({advertised(index), 1},
                                                              m_clock.now());
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
            const bool reads = m_selections[index].shouldRead(m_directories[index],
                                                              advertised(index), m_clock.now());
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
    void loseSource(std::size_t index) { m_hasLostSource[index] = true; }
    /** The daemon stays live for the others, but its announcements are lost. */
    void muteAnnouncements(std::size_t index) { m_muted = index; }

private:
    MemberInfo advertised(std::size_t index) const
    {
        MemberInfo info = memberInfo(index);
        info.hasLostSource = m_hasLostSource[index];
        info.reachesSource = !info.hasLostSource;
        return info;
    }
    bool isFleetReader(std::size_t index) const
    {
        return m_directories[index].isFleetReader(advertised(index), m_clock.now());
    }

    ManualClock m_clock;
    std::vector<FleetDirectory> m_directories;
    std::vector<ReaderSelection> m_selections;
    std::vector<bool> m_hasLostSource;
    std::optional<std::size_t> m_muted;
};

} // namespace

TEST_CASE("three daemons read for a fleet of many cells, whatever their number")
{
    // The configuration service answers about a thousand calls per second of all daemons together,
    // and each change causes a call by every reader. With two readers in each cell, 195 daemons had
    // 64 readers.
    for (const std::size_t daemons : {std::size_t {40}, std::size_t {195}, std::size_t {320}}) {
        CAPTURE(daemons);
        CHECK(Fleet(daemons).readers() == FleetDirectory::FleetReaders);
    }
    CHECK(Fleet(9).readers() == FleetDirectory::ReadersPerCell);
}

TEST_CASE("cells read at the source themselves while they hear too few readers of the fleet")
{
    // The failure of a member of another cell is noticed only after seconds, but a reader's
    // announcements stop at once. A new configuration must take effect in time even if readers
    // fail.
    Fleet fleet(195);
    fleet.muteAnnouncements(fleet.firstFleetReader());
    fleet.pass(ReaderSelection::AnnouncementInterval);
    CHECK(fleet.readers() == FleetDirectory::FleetReaders);
    fleet.pass(ReaderSelection::SilenceLimit);
    // Two of three readers are still heard.
    CHECK(fleet.readers() == FleetDirectory::FleetReaders);
    ReaderSelection isolated;
    ManualClock clock;
    CHECK(isolated.reachableReaders(clock.now()) == 0);
    CHECK_FALSE(isolated.sourceReachability(clock.now()).anyReachable);
}

TEST_CASE("a reader of the fleet that has lost the source is replaced by the next daemon")
{
    Fleet fleet(195);
    const std::size_t first = fleet.firstFleetReader();
    fleet.loseSource(first);
    fleet.pass(ReaderSelection::AnnouncementInterval);
    CHECK(fleet.firstFleetReader() != first);
    // An additional daemon of its own cell reads, as the source may also reject its successor.
    CHECK(fleet.readers() <= FleetDirectory::FleetReaders + FleetDirectory::ReadersPerCell);
}

TEST_CASE("announcements of readers of the fleet expire after a second")
{
    ManualClock clock;
    ReaderSelection selection;
    MemberInfo lost = memberInfo(2);
    lost.reachesSource = false;
    lost.hasLostSource = true;
    selection.recordAnnouncement({memberInfo(1), 5}, clock.now());
    selection.recordAnnouncement({lost, 5}, clock.now());
    CHECK(selection.reachableReaders(clock.now()) == 1);
    CHECK(selection.sourceReachability(clock.now()) == SourceReachability {true, true});
    clock.advance(ReaderSelection::SilenceLimit + std::chrono::milliseconds(1));
    CHECK(selection.reachableReaders(clock.now()) == 0);
    CHECK(selection.sourceReachability(clock.now()) == SourceReachability {false, false});
}
