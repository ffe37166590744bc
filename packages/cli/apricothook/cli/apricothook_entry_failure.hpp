#pragma once

#include <string>
#include <string_view>

namespace Apricothook {

enum class EntryFailureKind {
    Unreachable, ///< No connection, or no answer in time.
    Refused,     ///< The entry answered with an error.
    Malformed,   ///< The answer isn't the document that was asked for.
};

/** Why an entry gave no answer. */
struct EntryFailure
{
    EntryFailureKind kind = EntryFailureKind::Unreachable;
    /** For people, as the library or the entry tells it. */
    std::string detail;
};

/** Such as "entry-unreachable". */
std::string_view nameOf(EntryFailureKind kind);

} // namespace Apricothook
