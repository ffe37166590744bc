#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <compare>
#include <string_view>

namespace Apricothook {

/** Whom a measurement of a request is counted for. */
struct RequestLabels
{
    Tier tier;
    ClassId requestClass;
    CustomerId customer;
    auto operator<=>(const RequestLabels &) const = default;
};

/** How a request ended for its caller. Answered is goodput. */
enum class RequestResult {
    Answered,     ///< Whole and within its patience.
    AnsweredLate, ///< Whole, but after its patience.
    NotRun,       ///< Refused, and proven not to have run.
    Unknown,      ///< Refused or cut; it may have run.
    CallerLeft,
};

/** The value of the label "result", such as "answered-late". */
std::string_view nameOf(RequestResult result);

} // namespace Apricothook
