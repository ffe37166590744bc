#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::string_view ConnectPath = "/relay/connect";
constexpr std::string_view TestPath = "/relay/test";
constexpr std::string_view TargetHeader = "Relay-Target";
constexpr std::string_view StartHeader = "Relay-Start";
constexpr std::string_view AddressHeader = "Relay-Address";
constexpr std::string_view RequestHeader = "Relay-Request";

constexpr std::array Statuses {
    std::pair(RelayOutcome::Reached, 200U),       std::pair(RelayOutcome::UnknownTarget, 404U),
    std::pair(RelayOutcome::Busy, 429U),          std::pair(RelayOutcome::Failed, 500U),
    std::pair(RelayOutcome::TargetRefuses, 502U), std::pair(RelayOutcome::NoPath, 503U),
    std::pair(RelayOutcome::TargetSilent, 504U),
};

std::string valueOf(const RequestHead &head, std::string_view name)
{
    return std::string(head.headers.find(name).value_or(std::string_view()));
}

} // namespace

std::string_view nameOf(RelayOutcome outcome)
{
    switch (outcome) {
    case RelayOutcome::Reached:
        return "reached";
    case RelayOutcome::TargetRefuses:
        return "target-refuses";
    case RelayOutcome::TargetSilent:
        return "target-silent";
    case RelayOutcome::NoPath:
        return "no-path";
    case RelayOutcome::UnknownTarget:
        return "unknown-target";
    case RelayOutcome::Busy:
        return "busy";
    case RelayOutcome::Failed:
        break;
    }
    return "failed";
}

RequestHead writeRelayRequest(const RelayRequest &request)
{
    RequestHead head;
    head.method = "POST";
    head.target = request.service == RelayService::Connect ? ConnectPath : TestPath;
    head.headers.add("Host", "relay");
    head.headers.add(TargetHeader, request.target.id.text());
    head.headers.add(StartHeader, std::to_string(request.target.startedAt));
    head.headers.add(AddressHeader, request.address.text());
    if (!request.request.isEmpty())
        head.headers.add(RequestHeader, request.request.text());
    return head;
}

Result<RelayRequest, RelayRequestError> parseRelayRequest(const RequestHead &head)
{
    RelayRequest request;
    if (head.target != ConnectPath && head.target != TestPath)
        return RelayRequestError::UnknownService;
    request.service = head.target == ConnectPath ? RelayService::Connect : RelayService::Test;
    request.target.id = TargetId(valueOf(head, TargetHeader));
    if (request.target.id.isEmpty())
        return RelayRequestError::MissingTarget;
    const std::string start = valueOf(head, StartHeader);
    const auto read
        = std::from_chars(start.data(), start.data() + start.size(), request.target.startedAt);
    if (read.ec != std::errc() || read.ptr != start.data() + start.size())
        return RelayRequestError::InvalidStart;
    const std::optional<Endpoint> address = parseEndpoint(valueOf(head, AddressHeader));
    if (!address)
        return RelayRequestError::InvalidAddress;
    request.address = *address;
    request.request = RequestKey(valueOf(head, RequestHeader));
    return request;
}

unsigned statusOf(RelayOutcome outcome)
{
    for (const auto &[known, status] : Statuses) {
        if (known == outcome)
            return status;
    }
    return statusOf(RelayOutcome::Failed);
}

RelayOutcome relayOutcomeOf(unsigned status)
{
    for (const auto &[outcome, known] : Statuses) {
        if (known == status)
            return outcome;
    }
    return RelayOutcome::Failed;
}

} // namespace Apricothook
