#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/fleetview/apricothook_cell_load_report.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_view_age.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricothook {

/** Identity and complete load of a daemon, sent to its cell several times per second. */
struct Heartbeat
{
    MemberInfo sender;
    /** Highest revision of a published item that the sender has. */
    std::uint64_t revision = 0;
    CellLoadReport report;
    ViewReport view {};

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.revision, self.report, self.view);
    }
    auto operator<=>(const Heartbeat &) const = default;
};

/**
 * Members of one cell, sent to the members of the other cells in turn. A summary contains the
 * current state rather than changes, so that it doesn't matter which member sends it or whether
 * some are lost.
 */
struct CellSummary
{
    std::uint32_t cell = 0;
    /** Number of cells in the sender's view. */
    std::uint32_t cells = 1;
    std::uint64_t revision = 0;
    /** The sender, followed by the live members of its cell. */
    std::vector<MemberInfo> members;
    ViewReport view {};

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.cell, self.cells, self.revision, self.members, self.view);
    }
    auto operator<=>(const CellSummary &) const = default;
};

/** Introduces the sender to a daemon that may not know it, with some other members it knows. */
struct MemberGossip
{
    MemberInfo sender;
    /** Requests a reply. */
    bool wantsReply = false;
    /** Requests all known members in the reply, as the sender has just started. */
    bool wantsFullList = false;
    std::vector<MemberInfo> others;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.wantsReply, self.wantsFullList, self.others);
    }
    auto operator<=>(const MemberGossip &) const = default;
};

/** State of a reader of the fleet, sent to the readers of the other cells. */
struct ReaderAnnouncement
{
    MemberInfo sender;
    /** Highest revision of a published item that the sender has. */
    std::uint64_t revision = 0;
    ViewReport view {};

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.revision, self.view);
    }
    auto operator<=>(const ReaderAnnouncement &) const = default;
};

/** Tests whether the receiver is reachable; answered with a ReachReply. */
struct ReachProbe
{
    Endpoint sender;
    std::uint64_t probe = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.probe);
    }
    auto operator<=>(const ReachProbe &) const = default;
};

struct ReachReply
{
    std::uint64_t probe = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.probe);
    }
    auto operator<=>(const ReachReply &) const = default;
};

/** Content of a datagram between daemons. */
using PeerDatagram
    = std::variant<Heartbeat, CellLoadReport, CellSummary, MemberGossip, UnitsRequest, UnitsReply,
                   GrantorClaim, GrantorHandover, ReachProbe, ReachReply, ReaderAnnouncement,
                   GrantorDenial, SuspectNotice, TargetLimitNotice, CrashNotice, UnitsReturn,
                   SuspectQuery, SuspectReply, BrittlenessNotice, TargetFullNotice, PermitRequest,
                   PermitReply, PermitReport, StreamOriginNotice, StreamOriginQuery,
                   StreamOriginReply>;

std::string writePeerDatagram(const PeerDatagram &datagram);
Result<PeerDatagram, CodecError> parsePeerDatagram(std::string_view bytes);

} // namespace Apricothook
