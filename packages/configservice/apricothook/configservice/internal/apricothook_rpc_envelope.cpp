#include <apricothook/configservice/internal/apricothook_rpc_envelope.hpp>

#include <jsonrpccpp/client/client.h>

namespace Apricothook {

namespace {

class CarrierConnector : public jsonrpc::IClientConnector
{
public:
    explicit CarrierConnector(RpcCarrier &carrier) : m_carrier(carrier) { }
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_carrier.carry(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }

private:
    RpcCarrier &m_carrier;
};

} // namespace

bool callRpc(RpcCarrier &carrier, const std::string &method, const Json::Value &parameters,
             Json::Value &result)
{
    CarrierConnector connector(carrier);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod(method, parameters, result);
        return true;
    } catch (const std::exception &) {
        // Refusals of the other side and answers that aren't JSON-RPC come as exceptions.
        return false;
    }
}

} // namespace Apricothook
