#pragma once

#include <apricothook/peers/apricothook_cbor_bounds.hpp>
#include <apricothook/peers/apricothook_cbor_item.hpp>
#include <apricothook/peers/apricothook_endpoint_bytes.hpp>
#include <apricothook/peers/apricothook_known_enumerators.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/**
 * Reads values from CBOR. Implements the archive interface that the messages' fields() functions
 * expect. Keeps the first error; values read after it are left at their defaults. The recursion
 * depth is bounded by the message types, because items that no field corresponds to are skipped
 * without recursion.
 */
class CborReader
{
public:
    explicit CborReader(std::string_view bytes) : m_bytes(bytes) { }

    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        std::uint64_t left = expect(CborItem::Type::Array).number;
        ((left > 0 ? (read(fields), --left) : left), ...);
        for (; left > 0 && !m_error; --left)
            skip();
    }

    /** Reads the header of an array and returns its length, or 0 after an error. */
    std::uint64_t array() { return expect(CborItem::Type::Array).number; }
    std::uint64_t number(std::uint64_t largest = std::numeric_limits<std::uint64_t>::max())
    {
        return inRange(expect(CborItem::Type::Unsigned).number, largest);
    }
    template <typename T>
    void read(T &value);
    void skip()
    {
        const Result<void, CodecError> skipped = skipItem(m_bytes);
        if (!skipped)
            fail(skipped.error());
    }
    void fail(CodecError error)
    {
        if (!m_error)
            m_error = error;
    }
    const std::optional<CodecError> &error() const { return m_error; }
    std::string_view remaining() const { return m_bytes; }

private:
    CborItem next()
    {
        if (m_error)
            return {};
        const Result<CborItem, CodecError> item = takeItem(m_bytes);
        if (item)
            return item.value();
        fail(item.error());
        return {};
    }
    CborItem expect(CborItem::Type type)
    {
        const CborItem item = next();
        if (item.type == type)
            return item;
        fail(CodecError::WrongType);
        return {};
    }
    std::uint64_t inRange(std::uint64_t value, std::uint64_t largest)
    {
        if (value <= largest)
            return value;
        fail(CodecError::OutOfRange);
        return 0;
    }
    std::string text()
    {
        const CborItem item = expect(CborItem::Type::Text);
        if (item.bytes.size() > MaximumStringBytes)
            fail(CodecError::TooLong);
        return m_error ? std::string() : std::string(item.bytes);
    }
    Duration duration()
    {
        const CborItem item = next();
        constexpr std::uint64_t Largest = std::numeric_limits<Duration::rep>::max();
        const auto count = static_cast<Duration::rep>(inRange(item.number, Largest));
        if (item.type == CborItem::Type::Negative)
            return Duration(-1 - count);
        if (item.type != CborItem::Type::Unsigned)
            fail(CodecError::WrongType);
        return Duration(count);
    }
    double real()
    {
        const double value = expect(CborItem::Type::Double).real;
        if (!std::isfinite(value))
            fail(CodecError::OutOfRange);
        return std::isfinite(value) ? value : 0;
    }
    template <typename E>
    E enumerator()
    {
        const auto value = static_cast<E>(number(std::numeric_limits<std::uint8_t>::max()));
        if (!isKnown(value))
            fail(CodecError::OutOfRange);
        return isKnown(value) ? value : E();
    }
    Tier tier()
    {
        const std::uint64_t rank = number(LowestTierRank);
        if (rank == 0)
            fail(CodecError::OutOfRange);
        return rank == 0 ? Tier() : Tier(static_cast<std::uint8_t>(rank));
    }
    Endpoint endpoint()
    {
        const std::optional<Endpoint> read = endpointOf(expect(CborItem::Type::Bytes).bytes);
        if (!read)
            fail(CodecError::OutOfRange);
        return read.value_or(Endpoint {});
    }
    template <typename T>
    void items(std::vector<T> &values)
    {
        const std::uint64_t count = array();
        if (count > MaximumItems)
            fail(CodecError::TooLong);
        for (std::uint64_t i = 0; i < count && !m_error; ++i) {
            values.emplace_back();
            read(values.back());
        }
    }

    std::string_view m_bytes;
    std::optional<CodecError> m_error;
};

template <typename T>
void CborReader::read(T &value)
{
    if constexpr (std::is_same_v<T, bool>)
        value = expect(CborItem::Type::Boolean).number != 0;
    else if constexpr (std::is_same_v<T, double>)
        value = real();
    else if constexpr (std::is_enum_v<T>)
        value = enumerator<T>();
    else if constexpr (std::is_unsigned_v<T>)
        value = static_cast<T>(number(std::numeric_limits<T>::max()));
    else if constexpr (std::is_same_v<T, Duration>)
        value = duration();
    else if constexpr (std::is_same_v<T, Tier>)
        value = tier();
    else if constexpr (std::is_same_v<T, Endpoint>)
        value = endpoint();
    else if constexpr (requires { value.text(); })
        value = T(text());
    else if constexpr (requires { value.value(); })
        value = T(number());
    else if constexpr (requires { value.begin(); })
        items(value);
    else
        T::fields(*this, value);
}

} // namespace Apricothook
