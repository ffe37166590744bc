#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/peers/apricothook_known_enumerators.hpp>

#include <array>
#include <random>
#include <utility>

namespace Apricothook {

/**
 * Fills the fields of any message with random values from a seed. Implements the archive interface
 * that fields() expects.
 */
class MessageFiller
{
public:
    explicit MessageFiller(std::uint64_t seed) : m_engine(seed) { }

    PeerMessage message(std::size_t kind)
    {
        return messageOf(kind, std::make_index_sequence<std::variant_size_v<PeerMessage>>());
    }

    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        (fill(fields), ...);
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }
    /** A number of random bit length, so that all encoded sizes occur. */
    std::uint64_t number() { return m_engine() >> below(64); }

    std::string text()
    {
        std::string bytes(below(40), '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(below(256));
        return bytes;
    }

    template <typename E>
    E enumerator()
    {
        std::uint64_t count = 0;
        while (isKnown(static_cast<E>(count)))
            ++count;
        return static_cast<E>(below(count));
    }

    Endpoint endpoint()
    {
        static const std::array<Endpoint, 4> endpoints {Endpoint {"10.1.2.3", 7000},
                                                        Endpoint {"2001:db8::7", 65535},
                                                        Endpoint {"::1", 1}, Endpoint {}};
        return endpoints[below(endpoints.size())];
    }

    template <typename T>
    void fill(T &value)
    {
        if constexpr (std::is_same_v<T, double>)
            value = static_cast<double>(number()) / 7;
        else if constexpr (std::is_enum_v<T>)
            value = enumerator<T>();
        else if constexpr (std::is_unsigned_v<T>)
            value = static_cast<T>(number());
        else if constexpr (std::is_same_v<T, Duration>)
            value = Duration(static_cast<std::int64_t>(number()) * (below(2) == 0 ? 1 : -1));
        else if constexpr (std::is_same_v<T, Tier>)
            value = Tier(static_cast<std::uint8_t>(1 + below(LowestTierRank)));
        else if constexpr (std::is_same_v<T, Endpoint>)
            value = endpoint();
        else if constexpr (requires { value.text(); })
            value = T(text());
        else if constexpr (requires { value.value(); })
            value = T(number());
        else if constexpr (requires { value.begin(); })
            fillItems(value);
        else
            T::fields(*this, value);
    }

    template <typename T>
    void fillItems(std::vector<T> &values)
    {
        values.resize(below(5));
        for (T &value : values)
            fill(value);
    }

    template <std::size_t... kinds>
    PeerMessage messageOf(std::size_t kind, std::index_sequence<kinds...>)
    {
        PeerMessage message;
        ((kinds == kind ? (message.emplace<kinds>(), 0) : 0), ...);
        std::visit([this](auto &body) { fill(body); }, message);
        return message;
    }

    std::mt19937_64 m_engine;
};

} // namespace Apricothook
