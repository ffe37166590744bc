#include <apricothook/configservice/apricothook_peer_rpc_server.hpp>

#include <apricothook/configservice/apricothook_platform_event.hpp>
#include <apricothook/configservice/internal/apricothook_http_rpc_connector.hpp>
#include <apricothook/configservice/internal/apricothook_rpc_documents.hpp>

#include <jsonrpccpp/server/abstractserver.h>

#include <utility>

namespace Apricothook {

/** Answers the opened calls; the document that it gives back is sealed by the caller. */
class PeerRpcServer::Methods : public jsonrpc::AbstractServer<PeerRpcServer::Methods>
{
public:
    Methods(jsonrpc::AbstractServerConnector &connector, PeerRpcSurroundings surroundings)
        : AbstractServer(connector), m_surroundings(surroundings)
    {
        bind(ManifestMethod, &Methods::textManifest);
        bind(PiecesMethod, &Methods::textPieces);
        bind(KeptAnswerMethod, &Methods::keptAnswer);
    }

    void textManifest(const Json::Value &parameters, Json::Value &result)
    {
        serve(ManifestMethod, parameters, result, [this](const std::string &body) {
            const auto query = readQuery(body);
            const auto text = query ? find(*query) : nullptr;
            return text ? writeManifest(text->hashes()) : std::string();
        });
    }

    void textPieces(const Json::Value &parameters, Json::Value &result)
    {
        serve(PiecesMethod, parameters, result, [this](const std::string &body) {
            const auto query = readQuery(body);
            const auto text = query ? find(*query) : nullptr;
            if (!text)
                return std::string();
            std::vector<std::string> pieces;
            for (const std::uint32_t index : query->indexes)
                pieces.emplace_back(text->piece(index).value_or(std::string_view()));
            return writePieces(pieces);
        });
    }

    void keptAnswer(const Json::Value &parameters, Json::Value &result)
    {
        serve(KeptAnswerMethod, parameters, result, [this](const std::string &body) {
            const auto key = readKey(body);
            if (!key)
                return std::string();
            return writeKeptAnswer(m_surroundings.answers.keptAnswer(*key).get());
        });
    }

private:
    void bind(const char *name, methodPointer_t method)
    {
        bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                            "body", jsonrpc::JSON_STRING, "time",
                                            jsonrpc::JSON_INTEGER, "nonce", jsonrpc::JSON_STRING,
                                            "key", jsonrpc::JSON_INTEGER, "mac",
                                            jsonrpc::JSON_STRING, nullptr),
                         method);
    }

    template <typename Answer>
    void serve(const char *method, const Json::Value &parameters, Json::Value &result,
               Answer answer)
    {
        const SealedCall call = sealedCallOf(parameters);
        const auto opened
            = m_surroundings.seal.openCall(method, call, m_surroundings.clock.wallMilliseconds());
        if (!opened) {
            refuse(method, opened.error());
            return;
        }
        ++m_surroundings.counters.rpcCallsServed;
        result = toJson(m_surroundings.seal.sealReply(method, call, answer(call.body)));
    }

    void refuse(const char *method, RpcSealError error)
    {
        ++m_surroundings.counters.rpcCallsRefused;
        m_surroundings.events.record(
            {static_cast<int>(PlatformEvent::RpcRefused), RequestKey(),
             std::string("method=") + method + " reason=" + std::string(nameOf(error))});
    }

    std::shared_ptr<const ShelvedText> find(const TextQuery &query) const
    {
        return m_surroundings.shelf.find(Generation(query.generation), query.textHash);
    }

    PeerRpcSurroundings m_surroundings;
};

class PeerRpcServer::Listener
{
public:
    Listener(PeerRpcSurroundings surroundings, const Endpoint &address)
        : m_connector(address), m_methods(m_connector, surroundings)
    {
    }
    ~Listener() { m_connector.StopListening(); }
    bool start() { return m_methods.StartListening(); }

private:
    HttpRpcConnector m_connector;
    Methods m_methods;
};

PeerRpcServer::PeerRpcServer(PeerRpcSurroundings surroundings, Endpoint address)
    : m_surroundings(surroundings), m_address(std::move(address))
{
}

PeerRpcServer::~PeerRpcServer() = default;

bool PeerRpcServer::start()
{
    m_listener = std::make_unique<Listener>(m_surroundings, m_address);
    if (m_listener->start())
        return true;
    m_surroundings.events.record({static_cast<int>(PlatformEvent::RpcListenFailed), RequestKey(),
                                  "address=" + m_address.text()});
    m_listener.reset();
    return false;
}

void PeerRpcServer::stop()
{
    m_listener.reset();
}

} // namespace Apricothook
