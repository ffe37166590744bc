#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Apricothook {

/** Encoded messages that are sent in one datagram. */
struct PackedMessages
{
    MemberId to;
    Endpoint address;
    std::string payload;
    auto operator<=>(const PackedMessages &) const = default;
};

/** Packs messages for the same member together, up to the size of an unfragmented datagram. */
class PeerPacker
{
public:
    /** `limit`: payload bytes of a shared datagram. A larger message gets its own datagram. */
    void add(const MemberId &to, const Endpoint &address, const std::string &message,
             std::size_t limit);
    /** Removes and returns all messages, in the order of addition for each member. */
    std::vector<PackedMessages> take();
    /** Payload bytes added since the last take(). */
    std::size_t pendingBytes() const { return m_pendingBytes; }

private:
    std::vector<PackedMessages> m_full;
    std::map<std::pair<MemberId, Endpoint>, std::string> m_open;
    std::size_t m_pendingBytes = 0;
};

} // namespace Apricothook
