#include <apricothook/cli/apricothook_operator_call.hpp>

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace Apricothook {

namespace {

OperatorCallEnd endOf(int code)
{
    if (code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
        return OperatorCallEnd::Unreachable;
    const bool isMalformed = code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE
        || code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    return isMalformed ? OperatorCallEnd::Malformed : OperatorCallEnd::Refused;
}

} // namespace

OperatorCall callOperator(const std::string &url, const std::string &method,
                          const Json::Value &parameters, long timeoutMilliseconds)
{
    try {
        jsonrpc::HttpClient connector(url);
        connector.SetTimeout(timeoutMilliseconds);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return {OperatorCallEnd::Answered, client.CallMethod(method, parameters), {}};
    } catch (const jsonrpc::JsonRpcException &failure) {
        return {endOf(failure.GetCode()), {}, failure.GetMessage()};
    }
}

} // namespace Apricothook
