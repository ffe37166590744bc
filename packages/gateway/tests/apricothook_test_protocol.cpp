#include <apricothook_test_protocol.hpp>

#include <sstream>
#include <string>

namespace Apricothook {

namespace {

std::string valueOf(const HeaderList &headers, std::string_view name)
{
    return std::string(headers.find(name).value_or(std::string_view()));
}

} // namespace

Result<RequestFields, RequestFieldsError> TestProtocol::callerRequest(const RequestHead &head) const
{
    RequestFields request;
    request.id = RequestKey(valueOf(head.headers, "Id"));
    if (request.id.isEmpty())
        return RequestFieldsError::MissingId;
    request.host = valueOf(head.headers, "Host");
    request.path = head.target;
    request.customerKey = valueOf(head.headers, "Key");
    if (const auto patience = head.headers.find("Patience"))
        request.timeout = std::chrono::milliseconds(std::stoi(std::string(*patience)));
    if (const auto last = head.headers.find("Last"))
        request.lastEventId = std::stoul(std::string(*last));
    request.resumes = RequestKey(valueOf(head.headers, "Resumes"));
    std::stringstream parts(valueOf(head.headers, "Parts"));
    for (std::string part; std::getline(parts, part, ',');)
        request.promptParts.emplace_back(part);
    return request;
}

RequestHead TestProtocol::targetRequest(const RequestHead &fromCaller,
                                        const TargetRequestFields &fields) const
{
    RequestHead head = fromCaller;
    head.headers.removeHopByHop();
    head.headers.remove("Last");
    head.headers.set("Only", fields.target.text());
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(fields.timeout);
    head.headers.set("Patience", std::to_string(patience.count()));
    if (fields.lastEventId)
        head.headers.set("Last", std::to_string(*fields.lastEventId));
    return head;
}

TargetResponseFields TestProtocol::targetResponse(const ResponseHead &head) const
{
    TargetResponseFields fields;
    fields.requestId = RequestKey(valueOf(head.headers, "Id"));
    fields.isNotRun = head.headers.find("Not-Run").has_value();
    fields.isMisdirected = head.status == 421;
    fields.isSigned = head.headers.find("Signed").has_value();
    const std::string limit = valueOf(head.headers, "Limit");
    if (limit == "invalid")
        fields.limitError = TargetLimitError::NotANumber;
    else if (!limit.empty())
        fields.limitPerSecond = std::stod(limit);
    if (const std::string brittle = valueOf(head.headers, "Brittle"); !brittle.empty())
        fields.rejectionsPerSecond = std::stod(brittle);
    return fields;
}

ResponseHead TestProtocol::callerResponse(const ResponseHead &fromTarget) const
{
    ResponseHead head = fromTarget;
    head.headers.removeHopByHop();
    return head;
}

ResponseHead TestProtocol::localResponse(unsigned status, const RequestKey &id,
                                         std::optional<Duration> retryAfter) const
{
    ResponseHead head;
    head.status = status;
    if (!id.isEmpty())
        head.headers.add("Id", id.text());
    if (retryAfter)
        head.headers.add("Retry-After", std::to_string(retryAfter->count()));
    return head;
}

} // namespace Apricothook
