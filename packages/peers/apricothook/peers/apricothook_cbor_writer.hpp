#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/peers/apricothook_endpoint_bytes.hpp>

#include <cbor.h>

#include <array>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Apricothook {

/**
 * Writes values as CBOR. Implements the archive interface that the messages' fields() functions
 * expect.
 */
class CborWriter
{
public:
    template <typename... Fields>
    void operator()(const Fields &...fields)
    {
        array(sizeof...(fields));
        (write(fields), ...);
    }

    void array(std::size_t items) { header(cbor_encode_array_start, items); }
    void number(std::uint64_t value) { header(cbor_encode_uint, value); }
    template <typename T>
    void write(const T &value);
    std::string take() { return std::move(m_bytes); }

private:
    static constexpr std::size_t MaximumHeaderBytes = 9;

    template <typename Encode, typename Value>
    void header(Encode encode, Value value)
    {
        std::array<unsigned char, MaximumHeaderBytes> bytes;
        const std::size_t size = encode(value, bytes.data(), bytes.size());
        m_bytes.append(reinterpret_cast<const char *>(bytes.data()), size);
    }
    void text(const std::string &value)
    {
        header(cbor_encode_string_start, value.size());
        m_bytes.append(value);
    }
    void duration(Duration value)
    {
        // CBOR encodes a negative n as -1 - n.
        if (value.count() < 0)
            header(cbor_encode_negint, static_cast<std::uint64_t>(-(value.count() + 1)));
        else
            number(static_cast<std::uint64_t>(value.count()));
    }
    void endpoint(const Endpoint &value)
    {
        const std::string bytes = endpointBytes(value);
        header(cbor_encode_bytestring_start, bytes.size());
        m_bytes.append(bytes);
    }
    template <typename Kind>
    void name(const Name<Kind> &value)
    {
        text(value.text());
    }
    template <typename T>
    void items(const std::vector<T> &values)
    {
        array(values.size());
        for (const T &value : values)
            write(value);
    }

    std::string m_bytes;
};

template <typename T>
void CborWriter::write(const T &value)
{
    if constexpr (std::is_same_v<T, bool>)
        header(cbor_encode_bool, value);
    else if constexpr (std::is_same_v<T, double>)
        header(cbor_encode_double, value);
    else if constexpr (std::is_enum_v<T> || std::is_unsigned_v<T>)
        number(static_cast<std::uint64_t>(value));
    else if constexpr (std::is_same_v<T, Duration>)
        duration(value);
    else if constexpr (std::is_same_v<T, Tier>)
        number(value.rank());
    else if constexpr (std::is_same_v<T, Endpoint>)
        endpoint(value);
    else if constexpr (requires { value.text(); })
        name(value);
    else if constexpr (requires { value.value(); })
        number(value.value());
    else if constexpr (requires { value.begin(); })
        items(value);
    else
        T::fields(*this, value);
}

} // namespace Apricothook
