#pragma once

namespace Apricothook {

/** Why bytes are not a message. */
enum class CodecError {
    Truncated,   ///< The bytes end inside an item.
    Malformed,   ///< Not CBOR, or CBOR of a form that is never sent (indefinite lengths).
    WrongType,   ///< An item is of another type than its field.
    OutOfRange,  ///< A number, an enumerator or an address outside of what its field may hold.
    TooLong,     ///< A string or an array above its bound.
    UnknownKind, ///< A kind of message of a later version.
    Trailing,    ///< Bytes follow the message.
};

} // namespace Apricothook
