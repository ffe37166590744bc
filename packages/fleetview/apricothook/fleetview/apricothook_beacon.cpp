#include <apricothook/fleetview/apricothook_beacon.hpp>

#include <apricothook/peers/apricothook_cbor_reader.hpp>
#include <apricothook/peers/apricothook_cbor_writer.hpp>

namespace Apricothook {

std::string writeBeacon(const Beacon &beacon)
{
    CborWriter writer;
    writer.write(beacon);
    return writer.take();
}

Result<Beacon, CodecError> parseBeacon(std::string_view bytes)
{
    CborReader reader(bytes);
    Beacon beacon;
    reader.read(beacon);
    if (reader.error())
        return *reader.error();
    return beacon;
}

} // namespace Apricothook
