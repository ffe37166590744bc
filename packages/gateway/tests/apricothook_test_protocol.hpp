#pragma once

#include <apricothook/gateway/apricothook_wire_protocol.hpp>

namespace Apricothook {

/** Test headers: requests have "Id", "Patience" and "Key", responses "Not-Run" and "Signed". */
class TestProtocol : public WireProtocol
{
public:
    Result<RequestFields, RequestFieldsError> callerRequest(const RequestHead &head) const override;
    RequestHead targetRequest(const RequestHead &fromCaller,
                              const TargetRequestFields &fields) const override;
    TargetResponseFields targetResponse(const ResponseHead &head) const override;
    ResponseHead callerResponse(const ResponseHead &fromTarget) const override;
    ResponseHead localResponse(unsigned status, const RequestKey &id,
                               std::optional<Duration> retryAfter) const override;
};

} // namespace Apricothook
