#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/fleetview/apricothook_cell_load_report.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricothook {

/** Who a daemon is and all that it does; told to its cell some times a second. */
struct Heartbeat
{
    MemberInfo sender;
    /** The highest revision of a published item that the sender has. */
    std::uint64_t revision = 0;
    CellLoadReport report;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.revision, self.report);
    }
    auto operator<=>(const Heartbeat &) const = default;
};

/**
 * What the members of one cell tell those of the others, each in turn to another daemon. It holds
 * the present state, no differences, so it doesn't matter which member tells it or whether some
 * are lost.
 */
struct CellSummary
{
    std::uint32_t cell = 0;
    /** Cells of the fleet in the sender's view. */
    std::uint32_t cells = 1;
    std::uint64_t revision = 0;
    /** The members of the cell that the sender hears, itself first. */
    std::vector<MemberInfo> members;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.cell, self.cells, self.revision, self.members);
    }
    auto operator<=>(const CellSummary &) const = default;
};

/** A daemon's word to one that may not know it, with some others that it knows. */
struct MemberGossip
{
    MemberInfo sender;
    /** The receiver is asked to greet back. */
    bool wantsReply = false;
    /** With all that it knows: the sender has just started. */
    bool wantsFullList = false;
    std::vector<MemberInfo> others;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.wantsReply, self.wantsFullList, self.others);
    }
    auto operator<=>(const MemberGossip &) const = default;
};

/** What a reader of the fleet has read; told to the readers of the other cells. */
struct ReaderAnnouncement
{
    MemberInfo sender;
    /** The highest revision of a published item that the sender has. */
    std::uint64_t revision = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.revision);
    }
    auto operator<=>(const ReaderAnnouncement &) const = default;
};

/** Asks whether the receiver can be reached, and answers back. */
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

/** What one datagram between daemons holds. */
using PeerDatagram
    = std::variant<Heartbeat, CellLoadReport, CellSummary, MemberGossip, UnitsRequest, UnitsReply,
                   GrantorClaim, GrantorHandover, ReachProbe, ReachReply, ReaderAnnouncement,
                   GrantorDenial, SuspectNotice>;

std::string writePeerDatagram(const PeerDatagram &datagram);
Result<PeerDatagram, CodecError> parsePeerDatagram(std::string_view bytes);

} // namespace Apricothook
