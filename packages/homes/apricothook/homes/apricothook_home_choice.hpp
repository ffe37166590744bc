#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** More homes than this for one key: the roster changed too often, and the key is refused. */
constexpr std::size_t MaximumHomes = 4;

/** The daemons that must all grant a key. */
struct HomeChoice
{
    /**
     * Ordered by member, and to be asked one after the other in this order: entries that ask for
     * the same key at once then can't each hold one home's grant and wait for the other's.
     */
    std::vector<MemberId> homes;
    /** For keys with a ticket: the only life of the home that may grant. */
    std::optional<Incarnation> requiredLife;
    auto operator<=>(const HomeChoice &) const = default;
};

enum class HomeError {
    BadTicket,
    NotConfigured,   ///< No roster is known yet.
    UnknownCustomer, ///< The customer isn't in the generation that is in force here.
    TooManyHomes,    ///< The roster changed too often within the deduplication window.
};

} // namespace Apricothook
