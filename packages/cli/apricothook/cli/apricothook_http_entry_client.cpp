#include <apricothook/cli/apricothook_http_entry_client.hpp>

#include <apricothook/cli/apricothook_http_get.hpp>
#include <apricothook/cli/apricothook_operator_call.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr long TimeoutMilliseconds = 5000;

EntryFailureKind kindOf(OperatorCallEnd end)
{
    if (end == OperatorCallEnd::Unreachable)
        return EntryFailureKind::Unreachable;
    return end == OperatorCallEnd::Malformed ? EntryFailureKind::Malformed
                                             : EntryFailureKind::Refused;
}

EntryAnswer objectOnly(Json::Value value)
{
    if (!value.isObject())
        return EntryFailure {EntryFailureKind::Malformed, "an object was expected"};
    return value;
}

} // namespace

HttpEntryClient::HttpEntryClient(const Endpoint &entry) : m_base("http://" + entry.text()) { }

EntryAnswer HttpEntryClient::entries()
{
    EntryAnswer answer = httpGet(m_base + "/v1/entries", TimeoutMilliseconds);
    return answer ? objectOnly(std::move(answer.value())) : answer;
}

EntryAnswer HttpEntryClient::status()
{
    return call("status", Json::Value(Json::objectValue));
}

EntryAnswer HttpEntryClient::explain(const std::string &key)
{
    Json::Value parameters(Json::objectValue);
    parameters["key"] = key;
    return call("explain", parameters);
}

EntryAnswer HttpEntryClient::call(const std::string &method, const Json::Value &parameters) const
{
    OperatorCall call
        = callOperator(m_base + "/v1/operator", method, parameters, TimeoutMilliseconds);
    if (call.end != OperatorCallEnd::Answered)
        return EntryFailure {kindOf(call.end), std::move(call.detail)};
    return objectOnly(std::move(call.result));
}

} // namespace Apricothook
