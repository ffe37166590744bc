#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <cstdint>
#include <string_view>

namespace Apricothook {

/** One item of CBOR as libcbor's stream decoder reports it. */
struct CborItem
{
    enum class Type { Unsigned, Negative, Text, Bytes, Array, Map, Tag, Boolean, Double, Other };
    Type type = Type::Other;
    /** Value of a number or Boolean; items of an array, pairs of a map. */
    std::uint64_t number = 0;
    double real = 0;
    std::string_view bytes;
};

/** Takes the next item off the front of `bytes`; contents of arrays follow as items of their own.
 */
Result<CborItem, CodecError> takeItem(std::string_view &bytes);

/** Takes one item with all that is in it off the front of `bytes`. */
Result<void, CodecError> skipItem(std::string_view &bytes);

} // namespace Apricothook
