#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <deque>

namespace Apricothook {

/**
 * Responses to peers that request the published items after a revision.
 *
 * The members of a cell request a change at the same time, on links that may be small. A large
 * response is therefore compressed, and kept for the next requests of the same changes.
 */
class PeerItemResponses
{
public:
    /** Smaller bodies fit into a few packets. */
    static constexpr std::size_t SmallestCompressed = 4096;
    /** Members of a cell differ by a few revisions at any time. */
    static constexpr std::size_t KeptResponses = 4;

    explicit PeerItemResponses(const ItemReplica &replica) : m_replica(replica) { }

    /** The items after `after`, as the response to a request that accepts gzip or doesn't. */
    SimpleHttpResponse respond(Revision after, bool acceptsGzip);

private:
    /** A compressed body, and what it was made of. */
    struct Kept
    {
        Revision after = 0;
        std::uint64_t version = 0;
        std::string body;
    };

    const ItemReplica &m_replica;
    std::deque<Kept> m_kept;
};

/** True if the header of a request lists gzip among the encodings that it accepts. */
bool acceptsGzip(const RequestHead &request);

} // namespace Apricothook
