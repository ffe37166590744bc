#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

#include <apricothook/peers/apricothook_cbor_reader.hpp>
#include <apricothook/peers/apricothook_cbor_writer.hpp>

namespace Apricothook {

namespace {

template <typename Message>
Result<PeerDatagram, CodecError> parseAs(std::string_view bytes)
{
    CborReader reader(bytes);
    Message message;
    reader.read(message);
    if (reader.error())
        return *reader.error();
    return PeerDatagram(std::move(message));
}

template <std::size_t Index = 0>
Result<PeerDatagram, CodecError> parseKind(std::size_t kind, std::string_view bytes)
{
    if constexpr (Index < std::variant_size_v<PeerDatagram>) {
        if (kind == Index)
            return parseAs<std::variant_alternative_t<Index, PeerDatagram>>(bytes);
        return parseKind<Index + 1>(kind, bytes);
    } else {
        return CodecError::UnknownKind;
    }
}

} // namespace

std::string writePeerDatagram(const PeerDatagram &datagram)
{
    CborWriter writer;
    std::visit([&writer](const auto &message) { writer.write(message); }, datagram);
    return static_cast<char>(datagram.index()) + writer.take();
}

Result<PeerDatagram, CodecError> parsePeerDatagram(std::string_view bytes)
{
    if (bytes.empty())
        return CodecError::Truncated;
    return parseKind(static_cast<unsigned char>(bytes.front()), bytes.substr(1));
}

} // namespace Apricothook
