#include <apricothook/peers/apricothook_cbor_reader.hpp>
#include <apricothook/peers/apricothook_cbor_writer.hpp>
#include <apricothook/peers/apricothook_peer_codec.hpp>

#include <array>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::size_t KindCount = std::variant_size_v<PeerMessage>;

using ReadKind = PeerMessage (*)(CborReader &);

template <std::size_t kind>
PeerMessage readKind(CborReader &reader)
{
    std::variant_alternative_t<kind, PeerMessage> message;
    reader.read(message);
    return message;
}

template <std::size_t... kinds>
constexpr std::array<ReadKind, KindCount> readersOf(std::index_sequence<kinds...>)
{
    return {readKind<kinds>...};
}

constexpr std::array<ReadKind, KindCount> Readers
    = readersOf(std::make_index_sequence<KindCount>());

constexpr std::array<std::string_view, KindCount> KindNames {
    "Probe",          "ProbeReply",    "IndirectProbe",       "MemberListRequest", "MemberList",
    "VmList",         "VmListRequest", "DigestRequest",       "DigestReply",       "GrantRequest",
    "GrantReply",     "OutcomeReport", "OutcomeAcknowledged", "KeyQuery",          "KeyQueryReply",
    "ReserveRequest", "ReserveReply",  "ReserveCancel",       "Release",           "InFlightReport",
    "ShardSummary",   "FloorRaise",    "FloorAcknowledged",   "SuspectNotice",     "LimitDemand",
    "LimitShare",     "RunHint",       "HintQuery",           "HintReply"};

static_assert(!KindNames.back().empty(), "Each message kind needs a name for the metrics.");

/**
 * Reads one message. Returns nothing without setting an error if only a later version defines the
 * message kind.
 */
std::optional<PeerMessage> readMessage(CborReader &reader)
{
    const std::uint64_t items = reader.array();
    const std::uint64_t kind = reader.number();
    if (items < 2)
        reader.fail(CodecError::WrongType);
    if (reader.error())
        return std::nullopt;
    std::optional<PeerMessage> message;
    if (kind < KindCount)
        message = Readers[kind](reader);
    else
        reader.skip();
    for (std::uint64_t extra = 2; extra < items && !reader.error(); ++extra)
        reader.skip();
    return message;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    CborWriter writer;
    writer.array(2);
    writer.number(message.index());
    std::visit([&writer](const auto &body) { writer.write(body); }, message);
    return writer.take();
}

Result<PeerMessage, CodecError> decode(std::string_view bytes)
{
    CborReader reader(bytes);
    std::optional<PeerMessage> message = readMessage(reader);
    if (reader.error())
        return *reader.error();
    if (!message)
        return CodecError::UnknownKind;
    if (!reader.remaining().empty())
        return CodecError::Trailing;
    return *std::move(message);
}

Result<DecodedMessages, CodecError> decodeAll(std::string_view bytes)
{
    DecodedMessages decoded;
    CborReader reader(bytes);
    while (!reader.remaining().empty()) {
        const std::size_t before = reader.remaining().size();
        std::optional<PeerMessage> message = readMessage(reader);
        if (reader.error())
            return *reader.error();
        if (message)
            decoded.messages.push_back({*std::move(message), before - reader.remaining().size()});
        else
            ++decoded.unknown;
    }
    return decoded;
}

std::string_view kindName(std::size_t kind)
{
    return kind < KindCount ? KindNames[kind] : std::string_view();
}

} // namespace Apricothook
