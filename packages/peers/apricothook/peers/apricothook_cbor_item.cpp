#include <apricothook/peers/apricothook_cbor_item.hpp>

#include <cbor.h>

namespace Apricothook {

namespace {

using Type = CborItem::Type;

template <Type type, typename Value>
void storeInteger(void *item, Value value)
{
    static_cast<CborItem *>(item)->type = type;
    static_cast<CborItem *>(item)->number = value;
}

template <Type type>
void storeBytes(void *item, cbor_data data, std::size_t size)
{
    static_cast<CborItem *>(item)->type = type;
    static_cast<CborItem *>(item)->bytes = {reinterpret_cast<const char *>(data), size};
}

template <typename Value>
void storeDouble(void *item, Value value)
{
    static_cast<CborItem *>(item)->type = Type::Double;
    static_cast<CborItem *>(item)->real = value;
}

cbor_callbacks makeCallbacks()
{
    // Peers never send indefinite lengths, breaks, null or undefined: these stay Type::Other.
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = storeInteger<Type::Unsigned, std::uint8_t>;
    callbacks.uint16 = storeInteger<Type::Unsigned, std::uint16_t>;
    callbacks.uint32 = storeInteger<Type::Unsigned, std::uint32_t>;
    callbacks.uint64 = storeInteger<Type::Unsigned, std::uint64_t>;
    callbacks.negint8 = storeInteger<Type::Negative, std::uint8_t>;
    callbacks.negint16 = storeInteger<Type::Negative, std::uint16_t>;
    callbacks.negint32 = storeInteger<Type::Negative, std::uint32_t>;
    callbacks.negint64 = storeInteger<Type::Negative, std::uint64_t>;
    callbacks.byte_string = storeBytes<Type::Bytes>;
    callbacks.string = storeBytes<Type::Text>;
    callbacks.array_start = storeInteger<Type::Array, std::size_t>;
    callbacks.map_start = storeInteger<Type::Map, std::size_t>;
    callbacks.tag = storeInteger<Type::Tag, std::uint64_t>;
    callbacks.boolean = storeInteger<Type::Boolean, bool>;
    callbacks.float2 = storeDouble<float>;
    callbacks.float4 = storeDouble<float>;
    callbacks.float8 = storeDouble<double>;
    return callbacks;
}

std::uint64_t childCount(const CborItem &item)
{
    switch (item.type) {
    case Type::Array:
        return item.number;
    case Type::Map:
        return 2 * item.number;
    case Type::Tag:
        return 1;
    default:
        return 0;
    }
}

bool isContainer(const CborItem &item)
{
    return item.type == Type::Array || item.type == Type::Map;
}

} // namespace

Result<CborItem, CodecError> takeItem(std::string_view &bytes)
{
    static const cbor_callbacks callbacks = makeCallbacks();
    CborItem item;
    const cbor_decoder_result result = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()),
                                                          bytes.size(), &callbacks, &item);
    if (result.status == CBOR_DECODER_NEDATA)
        return CodecError::Truncated;
    if (result.status != CBOR_DECODER_FINISHED || item.type == Type::Other)
        return CodecError::Malformed;
    bytes.remove_prefix(result.read);
    // Each element takes at least one byte. Without this check, a header that claims a billion
    // elements would make the reader allocate memory for them.
    if (isContainer(item) && item.number > bytes.size())
        return CodecError::Truncated;
    return item;
}

Result<void, CodecError> skipItem(std::string_view &bytes)
{
    // Iterates with a count of remaining items, so that deep nesting can't overflow the stack.
    for (std::uint64_t left = 1; left > 0; --left) {
        const Result<CborItem, CodecError> item = takeItem(bytes);
        if (!item)
            return item.error();
        left += childCount(item.value());
    }
    return Outcomes::success();
}

} // namespace Apricothook
