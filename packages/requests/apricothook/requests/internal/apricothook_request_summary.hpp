#pragma once

#include <apricothook/requests/apricothook_request_life.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>

namespace Apricothook {

RequestSummary summaryOf(const RequestLife &exchange, const std::optional<Refusal> &refusal,
                         Instant now);

} // namespace Apricothook
