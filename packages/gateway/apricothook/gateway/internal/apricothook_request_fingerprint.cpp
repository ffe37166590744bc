#include <apricothook/gateway/internal/apricothook_request_fingerprint.hpp>

#include <apricothook/dispatch/apricothook_unit_budget.hpp>
#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

Fingerprint fingerprintOf(const ReceivedRequest &received, const AdmittedRequest &admitted)
{
    std::uint64_t hash = hashOf(received.head.method);
    hash = hashOf(received.head.target, hash);
    if (admitted.customer)
        hash = hashOf(admitted.customer->name.text(), hash);
    return Fingerprint(hashOf(received.body, hash));
}

RequestTraits traitsOf(const ReceivedRequest &received, const AdmittedRequest &admitted)
{
    RequestTraits traits;
    traits.content = contentTrait(fingerprintOf(received, admitted));
    traits.customer = customerHash(admitted.customer ? admitted.customer->name : CustomerId());
    for (const PromptPartId &part : admitted.fields.promptParts) {
        const std::uint64_t trait = partTrait(part);
        if (std::ranges::find(traits.parts, trait) == traits.parts.end())
            traits.parts.push_back(trait);
    }
    return traits;
}

} // namespace Apricothook
