#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

MemberInfo brief(const std::string &member)
{
    return {.member = MemberId(member),
            .process = Incarnation(7),
            .dataCentre = DataCentreId("d"),
            .beaconAddress = {"10.0.0.1", 1},
            .callerAddress = {"10.0.0.1", 2},
            .itemAddress = {"10.0.0.1", 3},
            .isReady = true,
            .isLeaving = true,
            .capacity = 25,
            .age = 40};
}

CellLoadReport report()
{
    return {.member = 9,
            .process = Incarnation(7),
            .sequence = 3,
            .loads = {{1, 2}, {3, 4}},
            .waiting = {{5, Tier(2), Tier(3), 6}}};
}

const std::vector<PeerDatagram> All {
    Heartbeat {brief("a"), 99, report()},
    report(),
    CellSummary {2, 8, 77, {brief("a"), brief("b")}},
    MemberGossip {brief("a"), true, true, {brief("c")}},
    UnitsRequest {{7, {"10.0.0.1", 1}}, 3, 4, 5000, 900, 200, true},
    UnitsReply {7, 3, UnitsOutcome::Refused, 0, 60, 7000, 800, 90, {8, {"10.0.0.2", 1}}},
    GrantorClaim {{7, {"10.0.0.1", 1}}, 5, 4, false},
    GrantorHandover {9, 5, 4, 6000},
    ReachProbe {{"10.0.0.1", 1}, 11},
    ReachReply {11},
    ReaderAnnouncement {brief("a"), 78},
    GrantorDenial {7, 5, 4},
};

} // namespace

TEST_CASE("a datagram comes back as it was written")
{
    for (const PeerDatagram &datagram : All)
        CHECK(parsePeerDatagram(writePeerDatagram(datagram)).value() == datagram);
}

TEST_CASE("a datagram that was cut, and one of an unknown kind, are errors")
{
    for (const PeerDatagram &datagram : All) {
        const std::string whole = writePeerDatagram(datagram);
        for (std::size_t length = 0; length < whole.size(); ++length)
            CHECK_FALSE(parsePeerDatagram(std::string_view(whole).substr(0, length)));
    }
    CHECK(parsePeerDatagram("").error() == CodecError::Truncated);
    CHECK(parsePeerDatagram("nonsense").error() == CodecError::UnknownKind);
}

TEST_CASE("what daemons of a cell tell each other often fits into small datagrams")
{
    // A load report goes to each of eleven mates up to 40 times a second.
    CellLoadReport report;
    report.member = ~std::uint64_t {0};
    report.process = Incarnation(1700000000000);
    report.sequence = 100000;
    for (std::uint64_t target = 0; target < 14; ++target)
        report.loads.push_back({~target, 3});
    CHECK(writePeerDatagram(report).size() <= 200);

    // Names in a summary are of a usual length; it must not be split on the way.
    CellSummary summary;
    summary.members.assign(12, brief("edge-hall-a-12"));
    CHECK(writePeerDatagram(summary).size() <= 1472);

    // Two of these go with nearly every request of a customer that has a limit.
    constexpr std::uint64_t Large = ~std::uint64_t {0};
    CHECK(writePeerDatagram(
              UnitsRequest {{Large, {"10.0.0.1", 8704}}, Large, Large, 60'000, 60'000, 0, false})
              .size()
          <= 64);
    CHECK(
        writePeerDatagram(
            UnitsReply {
                Large, Large, UnitsOutcome::Granted, 60'000, 2'000'000, 2'000'000, 900'000, 0, {}})
            .size()
        <= 64);
}

TEST_CASE("no bytes of a stranger bring the reader of datagrams down")
{
    DeterministicRandom random(20261202);
    std::size_t read = 0;
    constexpr int Inputs = 20'000;
    for (int input = 0; input < Inputs; ++input) {
        std::string bytes = writePeerDatagram(All[random.next() % All.size()]);
        for (std::uint64_t changes = 1 + random.next() % 4; changes > 0; --changes)
            bytes[random.next() % bytes.size()] = static_cast<char>(random.next());
        bytes.resize(random.next() % 4 == 0 ? random.next() % bytes.size() : bytes.size());
        read += parsePeerDatagram(bytes) ? 1 : 0;
    }
    // Most changes hit a name or a number, so that the reader comes far.
    CHECK(read > Inputs / 10);
    CHECK(read < Inputs);
}
