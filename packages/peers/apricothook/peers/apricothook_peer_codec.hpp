#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/**
 * Encodes a message as CBOR (RFC 8949, with libcbor): [kind, [fields in the order of fields()]].
 *
 * Trailing fields that are missing keep their defaults and additional trailing fields are ignored,
 * so that different versions are compatible. Addresses are encoded as 4 or 16 raw bytes and the
 * port.
 */
std::string encode(const PeerMessage &message);

/** Decodes exactly one message. */
Result<PeerMessage, CodecError> decode(std::string_view bytes);

struct DecodedMessage
{
    PeerMessage message;
    /** Encoded size. */
    std::size_t bytes = 0;
};

/** The messages of one datagram, in order. */
struct DecodedMessages
{
    std::vector<DecodedMessage> messages;
    /** Number of messages that were skipped because only a later version defines their kind. */
    std::size_t unknown = 0;
};

/** Decodes concatenated messages. One invalid message makes the whole input invalid. */
Result<DecodedMessages, CodecError> decodeAll(std::string_view bytes);

/** Name of the message kind with this number on the wire, for metrics; empty if undefined. */
std::string_view kindName(std::size_t kind);

} // namespace Apricothook
