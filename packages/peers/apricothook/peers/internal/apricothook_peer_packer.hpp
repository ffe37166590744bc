#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Apricothook {

/** Messages that leave in one datagram. */
struct PackedMessages
{
    MemberId to;
    Endpoint address;
    std::string payload;
    auto operator<=>(const PackedMessages &) const = default;
};

/** Puts messages to one member together, up to the size of one unfragmented datagram. */
class PeerPacker
{
public:
    /** `limit`: payload bytes of a shared datagram; a longer message gets one of its own. */
    void add(const MemberId &to, const Endpoint &address, const std::string &message,
             std::size_t limit);
    /** All that was added, in order for each member. */
    std::vector<PackedMessages> take();
    /** Payload bytes that wait. */
    std::size_t waiting() const { return m_waiting; }

private:
    std::vector<PackedMessages> m_full;
    std::map<std::pair<MemberId, Endpoint>, std::string> m_open;
    std::size_t m_waiting = 0;
};

} // namespace Apricothook
