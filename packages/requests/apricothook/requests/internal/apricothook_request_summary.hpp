#pragma once

#include <apricothook/requests/apricothook_exchange.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>

namespace Apricothook {

RequestSummary summaryOf(const Exchange &exchange, const std::optional<Refusal> &refusal,
                         Instant now);

} // namespace Apricothook
