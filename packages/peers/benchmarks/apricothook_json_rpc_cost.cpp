#include "apricothook_cost.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/connectors/httpserver.h>

#include <array>
#include <string>
#include <thread>

namespace Apricothook {

namespace {

using namespace jsonrpc;

constexpr int ServerPort = 18'471;
constexpr int CapturePort = 18'472;

/** The same fields as the GrantRequest that it is compared with. */
Json::Value grantRequest()
{
    Json::Value request;
    request["entry"] = "entry-017";
    request["incarnation"] = Json::UInt64(1'700'000'000'123);
    request["exchange"] = 123'456;
    request["attempt"] = 1;
    request["key"] = "t1.entry-017.18bcfe56a7b.0123456789abcdef.f3a9c1d2";
    request["customer"] = "customer-42";
    request["fingerprint"] = Json::UInt64(0x123456789abcdef0);
    request["target"] = "runner-117";
    request["generation"] = 48'213;
    request["closesPrevious"] = false;
    return request;
}

class GrantServer : public AbstractServer<GrantServer>
{
public:
    explicit GrantServer(AbstractServerConnector &connector)
        : AbstractServer<GrantServer>(connector, JSONRPC_SERVER_V2)
    {
        bindAndAddMethod(Procedure("grant", PARAMS_BY_NAME, JSON_OBJECT, nullptr),
                         &GrantServer::grant);
    }
    void grant(const Json::Value &request, Json::Value &reply)
    {
        for (const char *name : {"entry", "incarnation", "exchange", "attempt", "key", "target"})
            reply[name] = request[name];
        reply["verdict"] = "granted";
        reply["holder"] = request["entry"];
        reply["holderIncarnation"] = request["incarnation"];
        reply["generation"] = request["generation"];
    }
};

std::string receiveAll(ACE_SOCK_Stream &stream)
{
    const ACE_Time_Value timeout(0, 200'000);
    std::string bytes;
    std::array<char, 4096> buffer;
    for (;;) {
        const ssize_t size = stream.recv(buffer.data(), buffer.size(), &timeout);
        if (size <= 0)
            return bytes;
        bytes.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

/** Returns the bytes that the client sends for a call. */
std::string captureRequest()
{
    ACE_SOCK_Acceptor acceptor(ACE_INET_Addr(CapturePort, "127.0.0.1"), 1);
    std::string request;
    std::thread server([&] {
        ACE_SOCK_Stream stream;
        acceptor.accept(stream);
        request = receiveAll(stream);
        stream.close();
    });
    HttpClient connector("http://127.0.0.1:" + std::to_string(CapturePort));
    Client client(connector);
    try {
        client.CallMethod("grant", grantRequest());
    } catch (const JsonRpcException &) {
        // Expected, as the capturing server sends no response.
    }
    server.join();
    acceptor.close();
    return request;
}

std::size_t replySize(const std::string &request)
{
    ACE_SOCK_Stream stream;
    ACE_SOCK_Connector connector;
    connector.connect(stream, ACE_INET_Addr(ServerPort, "127.0.0.1"));
    stream.send_n(request.data(), request.size());
    const std::size_t size = receiveAll(stream).size();
    stream.close();
    return size;
}

} // namespace

ExchangeCost jsonRpcCost(int calls)
{
    HttpServer connector(ServerPort);
    GrantServer server(connector);
    server.StartListening();
    const std::string request = captureRequest();
    ExchangeCost cost {0, request.size(), replySize(request)};
    HttpClient clientConnector("http://127.0.0.1:" + std::to_string(ServerPort));
    Client client(clientConnector);
    client.CallMethod("grant", grantRequest());
    const double begin = processorMicroseconds();
    for (int i = 0; i < calls; ++i)
        client.CallMethod("grant", grantRequest());
    cost.microseconds = (processorMicroseconds() - begin) / calls;
    server.StopListening();
    return cost;
}

} // namespace Apricothook
