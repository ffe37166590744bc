#include <apricothook/cli/apricothook_entry_failure.hpp>

namespace Apricothook {

std::string_view nameOf(EntryFailureKind kind)
{
    switch (kind) {
    case EntryFailureKind::Unreachable:
        return "entry-unreachable";
    case EntryFailureKind::Refused:
        return "entry-refused";
    case EntryFailureKind::Malformed:
        return "malformed-answer";
    }
    return "unknown-failure";
}

} // namespace Apricothook
