#include <apricothook/cli/apricothook_operator_call.hpp>

#include <json/reader.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <memory>

namespace Apricothook {

namespace {

/** An answer holds lists of flat objects; this is far more than it needs. */
constexpr int MaximumAnswerDepth = 32;

bool parse(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaximumAnswerDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string told;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &told);
    } catch (const Json::Exception &) {
        return false;
    }
}

bool isAnswer(const std::string &text)
{
    Json::Value answer;
    if (!parse(text, answer) || !answer.isObject())
        return false;
    const Json::Value &error = answer["error"];
    if (error.isNull())
        return answer.isMember("result");
    return error.isObject() && error["code"].isInt() && error["message"].isString();
}

/**
 * Looks at each answer before the library does. Its functions may throw JsonRpcException only, and
 * an answer that is nested deeply or has an odd error makes JsonCpp throw another inside them: the
 * program would end without a word. What passes here can't make JsonCpp throw there.
 */
class CheckedConnector : public jsonrpc::IClientConnector
{
public:
    CheckedConnector(const std::string &url, long timeoutMilliseconds) : m_http(url)
    {
        m_http.SetTimeout(timeoutMilliseconds);
    }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_http.SendRPCMessage(message, result);
        if (!isAnswer(result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
                                            "not an answer of JSON-RPC 2.0");
    }

private:
    jsonrpc::HttpClient m_http;
};

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
        CheckedConnector connector(url, timeoutMilliseconds);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return {OperatorCallEnd::Answered, client.CallMethod(method, parameters), {}};
    } catch (const jsonrpc::JsonRpcException &failure) {
        return {endOf(failure.GetCode()), {}, failure.what()};
    }
}

} // namespace Apricothook
