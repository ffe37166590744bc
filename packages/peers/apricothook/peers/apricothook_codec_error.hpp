#pragma once

namespace Apricothook {

/** Reason why bytes can't be decoded as a message. */
enum class CodecError {
    Truncated,   ///< The input ends inside an item.
    Malformed,   ///< Not CBOR, or CBOR of a form that peers never send (indefinite lengths).
    WrongType,   ///< The type of an item doesn't match its field.
    OutOfRange,  ///< A number, enumerator or address isn't valid for its field.
    TooLong,     ///< A string or array exceeds its limit.
    UnknownKind, ///< A message kind that only a later version defines.
    Trailing,    ///< The message is followed by further bytes.
};

} // namespace Apricothook
