#include <apricothook/caller/internal/apricothook_operator_service.hpp>

#include <apricothook/caller/internal/apricothook_route.hpp>

#include <json/reader.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <chrono>
#include <future>
#include <sstream>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumWaitingCalls = 16;
constexpr std::chrono::seconds CorePatience {2};
constexpr Duration RingPatience = std::chrono::milliseconds(500);
/** JSON-RPC leaves -32000 to -32099 to servers. */
constexpr int CoreBusyCode = -32000;

/** Gives the codec one body and writes its response to the stream that came with it. */
class StreamConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *stream) override
    {
        auto &answer = *static_cast<AnswerStream *>(stream);
        answer.begin(AnswerHead {200,
                                 {{"Content-Type", "application/json"},
                                  {"Content-Length", std::to_string(response.size())}}});
        answer.append(response);
        answer.finish();
        return true;
    }
};

class OperatorMethods : public jsonrpc::AbstractServer<OperatorMethods>
{
public:
    OperatorMethods(jsonrpc::AbstractServerConnector &connector, CoreInbox &inbox)
        : AbstractServer(connector), m_inbox(inbox)
    {
        bindAndAddMethod(
            jsonrpc::Procedure("status", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &OperatorMethods::status);
        bindAndAddMethod(jsonrpc::Procedure("explain", jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_OBJECT, "key", jsonrpc::JSON_STRING,
                                            nullptr),
                         &OperatorMethods::explain);
    }

private:
    void status(const Json::Value & /*parameters*/, Json::Value &result)
    {
        result = ask(OperatorQuestion::Status, RequestKey());
    }

    void explain(const Json::Value &parameters, Json::Value &result)
    {
        const std::string key = parameters["key"].asString();
        if (!isGoodKey(key))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
        result = ask(OperatorQuestion::Explain, RequestKey(key));
    }

    Json::Value ask(OperatorQuestion question, const RequestKey &key)
    {
        const auto answer = std::make_shared<std::promise<std::string>>();
        std::future<std::string> document = answer->get_future();
        if (!m_inbox.tryPost(OperatorQuery {question, key, answer}))
            throw jsonrpc::JsonRpcException(CoreBusyCode, "the core is behind");
        if (document.wait_for(CorePatience) != std::future_status::ready)
            throw jsonrpc::JsonRpcException(CoreBusyCode, "the core didn't answer in time");
        return parsed(document);
    }

    static Json::Value parsed(std::future<std::string> &document)
    {
        Json::Value value;
        try {
            std::istringstream(document.get()) >> value;
        } catch (const std::exception &) {
            // The core let go of the question, or wrote no JSON.
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR);
        }
        return value;
    }

    CoreInbox &m_inbox;
};

} // namespace

OperatorService::OperatorService(CoreInbox &inbox)
    : m_inbox(inbox), m_calls(MaximumWaitingCalls) { }

OperatorService::~OperatorService()
{
    stop();
}

void OperatorService::start()
{
    m_thread = std::thread([this] { run(); });
}

void OperatorService::stop()
{
    m_isStopping = true;
    m_calls.close();
    if (m_thread.joinable())
        m_thread.join();
}

bool OperatorService::tryCall(QueuedOperatorCall call)
{
    return m_calls.tryPush(std::move(call));
}

void OperatorService::run()
{
    StreamConnector connector;
    OperatorMethods methods(connector, m_inbox);
    while (!m_isStopping) {
        const std::optional<QueuedOperatorCall> call = m_calls.pop(RingPatience);
        if (!call)
            continue;
        connector.OnRequest(call->body, call->answer.get());
        // Nothing happens here when the codec has answered.
        call->answer->refuse(Refusal {RefusalReason::BadRequest, Outcome::NotRun, {}});
    }
}

} // namespace Apricothook
