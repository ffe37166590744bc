#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace Apricothook {

/** One exchange at one entry, which may ask for several attempts one after the other. */
struct ExchangeRef
{
    /** Number of the entry's life in the home's table. */
    std::uint32_t entry = 0;
    std::uint32_t attempt = 0;
    ExchangeId exchange;

    bool isSameExchange(const ExchangeRef &other) const
    {
        return entry == other.entry && exchange == other.exchange;
    }
    auto operator<=>(const ExchangeRef &) const = default;
};

enum class RecordState : std::uint8_t {
    Closed,   ///< No attempt holds the grant; all before were proved not run.
    Granted,  ///< The holder may dispatch, or has.
    Answered, ///< The holder received the whole answer.
    Unknown,  ///< The holder lost track of its attempt.
};

/** What a home remembers of one key. */
struct KeyRecord
{
    ExchangeRef holder;
    Instant touched {};
    Fingerprint fingerprint;
    std::uint32_t customer = 0;
    std::uint32_t target = 0;
    RecordState state = RecordState::Closed;
    /** False while only a report is known, which names neither customer nor fingerprint. */
    bool isIdentified = false;
    /**
     * For each exchange that closed an attempt: its last one; none up to it is granted again. While
     * the key is closed, the holder stands for its exchange too.
     */
    std::vector<ExchangeRef> closed;
};

} // namespace Apricothook
