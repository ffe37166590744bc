#pragma once

#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

namespace Apricothook {

/** Hash of the request's content; equal for repetitions under other ids, on any daemon. */
Fingerprint fingerprintOf(const ReceivedRequest &received, const AdmittedRequest &admitted);

} // namespace Apricothook
