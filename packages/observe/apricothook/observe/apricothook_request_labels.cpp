#include <apricothook/observe/apricothook_request_labels.hpp>

namespace Apricothook {

std::string_view nameOf(RequestResult result)
{
    switch (result) {
    case RequestResult::Answered:
        return "answered";
    case RequestResult::AnsweredLate:
        return "answered-late";
    case RequestResult::NotRun:
        return "not-run";
    case RequestResult::Unknown:
        return "unknown";
    case RequestResult::CallerLeft:
        return "caller-left";
    }
    return "unknown";
}

} // namespace Apricothook
