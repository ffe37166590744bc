#include <apricothook/gateway/internal/apricothook_request_fingerprint.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

namespace Apricothook {

Fingerprint fingerprintOf(const ReceivedRequest &received, const AdmittedRequest &admitted)
{
    std::uint64_t hash = hashOf(received.head.method);
    hash = hashOf(received.head.target, hash);
    if (admitted.customer)
        hash = hashOf(admitted.customer->name.text(), hash);
    return Fingerprint(hashOf(received.body, hash));
}

} // namespace Apricothook
