#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/**
 * Messages as CBOR (RFC 8949, by libcbor): [kind, [fields in the order of fields()]].
 *
 * A field that is missing at the end keeps its default and an additional one at the end is ignored,
 * so two versions understand each other. Addresses are kept as 4 or 16 raw bytes and the port.
 */
std::string encode(const PeerMessage &message);

/** Reads exactly one message. */
Result<PeerMessage, CodecError> decode(std::string_view bytes);

struct DecodedMessage
{
    PeerMessage message;
    /** Its encoded size. */
    std::size_t bytes = 0;
};

/** The messages of one datagram, in order. */
struct DecodedMessages
{
    std::vector<DecodedMessage> messages;
    /** Messages of kinds that only a later version knows; they are left out. */
    std::size_t unknown = 0;
};

/** Reads messages that stand one after the other; one bad message refuses all of them. */
Result<DecodedMessages, CodecError> decodeAll(std::string_view bytes);

/** The name of the kind with this number on the wire, for metrics; empty when there is none. */
std::string_view kindName(std::size_t kind);

} // namespace Apricothook
