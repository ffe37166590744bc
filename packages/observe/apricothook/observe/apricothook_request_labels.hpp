#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <compare>
#include <string_view>

namespace Apricothook {

/** Label values under which a request's measurements are recorded. */
struct RequestLabels
{
    Tier tier;
    ClassId requestClass;
    CustomerId customer;
    auto operator<=>(const RequestLabels &) const = default;
};

/** Outcome of a request for its caller. Answered counts as goodput. */
enum class RequestResult {
    Answered,     ///< Answered completely before the deadline given by its patience.
    AnsweredLate, ///< Answered completely, but after that deadline.
    NotRun,       ///< Refused and known not to have run.
    Unknown,      ///< Refused or cut off; it may have run.
    CallerLeft,
};

/** Value of the "result" label, for example "answered-late". */
std::string_view nameOf(RequestResult result);

} // namespace Apricothook
