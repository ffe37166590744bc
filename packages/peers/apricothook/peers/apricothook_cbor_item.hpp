#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <cstdint>
#include <string_view>

namespace Apricothook {

/** One CBOR data item as reported by libcbor's stream decoder. */
struct CborItem
{
    enum class Type { Unsigned, Negative, Text, Bytes, Array, Map, Tag, Boolean, Double, Other };
    Type type = Type::Other;
    /** Value of an integer or Boolean; number of elements of an array or of pairs of a map. */
    std::uint64_t number = 0;
    double real = 0;
    std::string_view bytes;
};

/**
 * Decodes the next item and removes it from the front of `bytes`. Only the header of an array, map
 * or tag is removed; its contents follow as separate items.
 */
Result<CborItem, CodecError> takeItem(std::string_view &bytes);

/** Removes one item from the front of `bytes`, nested items included. */
Result<void, CodecError> skipItem(std::string_view &bytes);

} // namespace Apricothook
