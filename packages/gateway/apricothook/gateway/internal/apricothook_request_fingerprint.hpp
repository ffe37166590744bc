#pragma once

#include <apricothook/dispatch/apricothook_request_traits.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

namespace Apricothook {

/** Hash of the request's content; equal for repetitions under other ids, on any daemon. */
Fingerprint fingerprintOf(const ReceivedRequest &received, const AdmittedRequest &admitted);

/** What the request has in common with others. */
RequestTraits traitsOf(const ReceivedRequest &received, const AdmittedRequest &admitted);

} // namespace Apricothook
