#pragma once

#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

namespace Apricothook {

/** Tells a request that comes again, under another id and at any daemon. */
Fingerprint fingerprintOf(const ReceivedRequest &received, const AdmittedRequest &admitted);

} // namespace Apricothook
