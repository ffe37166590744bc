#pragma once

#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/requests/apricothook_configuration_index.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>

namespace Apricothook {

/**
 * What a refusal may say of a request whose homes can't be asked. A key of the caller's may have
 * run before; "not run" would let the caller run it again under a new key.
 */
Outcome outcomeUnasked(const CallerRequest &request);

/**
 * Finds customer, class and service of a request in the configuration in force. `index` is null
 * while none is in force. The key of the exchange is set only where the caller gave one.
 */
Result<RequestLife, Refusal> admitRequest(CallerRequest request, const ConfigurationIndex *index,
                                          Instant now);

} // namespace Apricothook
