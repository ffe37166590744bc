#include <apricothook/peers/apricothook_cbor_item.hpp>

#include <cbor.h>

namespace Apricothook {

namespace {

using Type = CborItem::Type;

template <Type type, typename Value>
void keepNumber(void *item, Value value)
{
    static_cast<CborItem *>(item)->type = type;
    static_cast<CborItem *>(item)->number = value;
}

template <Type type>
void keepBytes(void *item, cbor_data data, std::size_t size)
{
    static_cast<CborItem *>(item)->type = type;
    static_cast<CborItem *>(item)->bytes = {reinterpret_cast<const char *>(data), size};
}

template <typename Value>
void keepReal(void *item, Value value)
{
    static_cast<CborItem *>(item)->type = Type::Double;
    static_cast<CborItem *>(item)->real = value;
}

cbor_callbacks makeCallbacks()
{
    // Indefinite lengths, breaks, null and undefined are never sent: they stay Type::Other.
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = keepNumber<Type::Unsigned, std::uint8_t>;
    callbacks.uint16 = keepNumber<Type::Unsigned, std::uint16_t>;
    callbacks.uint32 = keepNumber<Type::Unsigned, std::uint32_t>;
    callbacks.uint64 = keepNumber<Type::Unsigned, std::uint64_t>;
    callbacks.negint8 = keepNumber<Type::Negative, std::uint8_t>;
    callbacks.negint16 = keepNumber<Type::Negative, std::uint16_t>;
    callbacks.negint32 = keepNumber<Type::Negative, std::uint32_t>;
    callbacks.negint64 = keepNumber<Type::Negative, std::uint64_t>;
    callbacks.byte_string = keepBytes<Type::Bytes>;
    callbacks.string = keepBytes<Type::Text>;
    callbacks.array_start = keepNumber<Type::Array, std::size_t>;
    callbacks.map_start = keepNumber<Type::Map, std::size_t>;
    callbacks.tag = keepNumber<Type::Tag, std::uint64_t>;
    callbacks.boolean = keepNumber<Type::Boolean, bool>;
    callbacks.float2 = keepReal<float>;
    callbacks.float4 = keepReal<float>;
    callbacks.float8 = keepReal<double>;
    return callbacks;
}

std::uint64_t itemsInside(const CborItem &item)
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

bool isCollection(const CborItem &item)
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
    // Each item takes a byte at least. A sender that claims a billion items would otherwise make
    // the reader reserve memory for them.
    if (isCollection(item) && item.number > bytes.size())
        return CodecError::Truncated;
    return item;
}

Result<void, CodecError> skipItem(std::string_view &bytes)
{
    // Counts what is left rather than recursing: deep nesting can't exhaust the stack.
    for (std::uint64_t left = 1; left > 0; --left) {
        const Result<CborItem, CodecError> item = takeItem(bytes);
        if (!item)
            return item.error();
        left += itemsInside(item.value());
    }
    return Outcomes::success();
}

} // namespace Apricothook
