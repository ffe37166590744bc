#pragma once

#include <apricothook/gateway/apricothook_wire_dialect.hpp>

namespace Apricothook {

/** A wire of the tests' own: "Id", "Patience" and "Key" from callers; "Not-Run" and "Signed" back.
 */
class TestDialect : public WireDialect
{
public:
    Result<RequestFields, RequestFieldsError> callerRequest(const RequestHead &head) const override;
    RequestHead targetRequest(const RequestHead &fromCaller,
                              const TargetRequestFields &fields) const override;
    TargetVerdict verdict(const ResponseHead &head) const override;
    ResponseHead callerAnswer(const ResponseHead &fromTarget) const override;
    ResponseHead ownAnswer(unsigned status, const RequestKey &id,
                           std::optional<Duration> retryAfter) const override;
};

} // namespace Apricothook
