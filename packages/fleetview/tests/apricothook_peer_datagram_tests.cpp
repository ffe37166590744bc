#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

MemberInfo memberInfo(const std::string &member)
{
    return {.member = MemberId(member),
            .process = Incarnation(7),
            .dataCentre = DataCentreId("d"),
            .peerAddress = {"10.0.0.1", 1},
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
            .loads = {{1, 2, 0}, {3, 4, 50000}},
            .waiting = {{5, Tier(2), Tier(3), 6}}};
}

const std::vector<PeerDatagram> All {
    Heartbeat {memberInfo("a"), 99, report(), {98, 250}},
    report(),
    CellSummary {2, 8, 77, {memberInfo("a"), memberInfo("b")}, {76, 400}},
    MemberGossip {memberInfo("a"), true, true, {memberInfo("c")}},
    UnitsRequest {{7, {"10.0.0.1", 1}}, 3, 4, 5000, 900, 200, true},
    UnitsReply {7, 3, UnitsOutcome::Refused, 0, 60, 7000, 800, 90, {8, {"10.0.0.2", 1}}},
    GrantorClaim {{7, {"10.0.0.1", 1}}, 5, 4, false},
    GrantorHandover {9, 5, 4, 6000},
    ReachProbe {{"10.0.0.1", 1}, 11},
    ReachReply {11},
    ReaderAnnouncement {memberInfo("a"), 78, {78, 10}},
    GrantorDenial {7, 5, 4},
    TargetLimitNotice {{"10.0.0.1", 1}, 5, true, 3600, 250, true},
    CrashNotice {
        {"10.0.0.1", 1}, 6, true, 400, {{7, false, true, 300, 9}, {8, true, false, 20, 0}}},
    UnitsReturn {9, 6, 1},
    SuspectQuery {{"10.0.0.1", 1}},
    SuspectReply {3, 4000},
    PermitRequest {{"10.0.0.1", 1}, 9, 6, 2500},
    PermitReply {7, 9, PermitOutcome::Busy, true, 40},
    PermitReport {9, 6, PermitUse::Crashed, 5, 300},
    StreamOriginNotice {8, {4, TargetVersion("v1.2")}, 6000},
    StreamOriginQuery {{"10.0.0.1", 7}, 8},
    StreamOriginReply {3, true, {8, {4, TargetVersion("v1.2")}, 5000}},
};

} // namespace

TEST_CASE("every kind of datagram survives a round trip")
{
    for (const PeerDatagram &datagram : All)
        CHECK(parsePeerDatagram(writePeerDatagram(datagram)).value() == datagram);
}

TEST_CASE("truncated datagrams and unknown kinds are errors")
{
    for (const PeerDatagram &datagram : All) {
        const std::string whole = writePeerDatagram(datagram);
        for (std::size_t length = 0; length < whole.size(); ++length)
            CHECK_FALSE(parsePeerDatagram(std::string_view(whole).substr(0, length)));
    }
    CHECK(parsePeerDatagram("").error() == CodecError::Truncated);
    CHECK(parsePeerDatagram("nonsense").error() == CodecError::UnknownKind);
}

TEST_CASE("frequent datagrams are small")
{
    // A load report is sent to each of eleven other daemons up to 40 times a second.
    CellLoadReport report;
    report.member = ~std::uint64_t {0};
    report.process = Incarnation(1700000000000);
    report.sequence = 100000;
    for (std::uint64_t target = 0; target < 14; ++target)
        report.loads.push_back({~target, 3});
    CHECK(writePeerDatagram(report).size() <= 200);

    // A summary with names of usual length must fit into one packet without fragmentation.
    CellSummary summary;
    summary.members.assign(12, memberInfo("edge-hall-a-12"));
    CHECK(writePeerDatagram(summary).size() <= 1472);

    // One of each is sent for nearly every request of a customer that has a limit.
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

TEST_CASE("corrupted datagrams don't crash the parser")
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
    // Most modified bytes are part of a name or a number and leave the datagram parseable.
    CHECK(read > Inputs / 10);
    CHECK(read < Inputs);
}
