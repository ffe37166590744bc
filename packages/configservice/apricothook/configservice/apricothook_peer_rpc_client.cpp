#include <apricothook/configservice/apricothook_peer_rpc_client.hpp>

#include <apricothook/configservice/internal/apricothook_platform_exchange.hpp>
#include <apricothook/configservice/internal/apricothook_rpc_documents.hpp>
#include <apricothook/configservice/internal/apricothook_rpc_envelope.hpp>
#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** A manifest of a megabyte's pieces, or one call's pieces in base64, with room to spare. */
constexpr std::size_t MaximumTextReply = 512UL * 1024;
constexpr std::size_t MaximumAnswerReply = 16U << 20U;

} // namespace

std::string_view nameOf(RpcError error)
{
    switch (error) {
    case RpcError::NoAnswer:
        return "no-answer";
    case RpcError::Refused:
        return "refused";
    case RpcError::BadSignature:
        return "bad-signature";
    case RpcError::Malformed:
        return "malformed";
    case RpcError::NotThere:
        return "not-there";
    case RpcError::WrongText:
        break;
    }
    return "wrong-text";
}

/**
 * The calls of one fetch, over one connection that is closed with it: a connection kept for the
 * next fetch may have gone silent by then and would cost that fetch its time.
 */
class PeerRpcClient::Connection : private RpcCarrier
{
public:
    Connection(const PeerRpcClient &client, const Endpoint &peer, Duration patience,
               std::size_t maximumReply)
        : m_client(client)
        , m_http(client.m_stop)
        , m_url("http://" + peer.text() + "/")
        , m_deadline(client.m_clock.now() + patience)
        , m_maximumReply(maximumReply)
    {
    }

    Result<std::string, RpcError> call(const char *method, std::string body)
    {
        const SealedCall call = m_client.m_seal.sealCall(method, std::move(body),
                                                         m_client.m_clock.wallMilliseconds());
        Json::Value result;
        if (!callRpc(*this, method, toJson(call), result))
            return RpcError::NoAnswer;
        const auto reply = sealedReplyOf(result);
        if (!reply)
            return RpcError::Refused;
        if (!m_client.m_seal.openReply(method, call, *reply))
            return RpcError::BadSignature;
        if (reply->body.empty())
            return RpcError::NotThere;
        return reply->body;
    }

private:
    bool carry(const std::string &call, std::string &answer) override
    {
        const Duration left = m_deadline - m_client.m_clock.now();
        if (left <= Duration::zero())
            return false;
        auto got = m_http.post(m_url, call, HttpBounds {left, m_maximumReply});
        if (!got || got.value().status != 200)
            return false;
        answer = std::move(got.value().body);
        m_client.m_counters.rpcBytes += call.size() + answer.size();
        return true;
    }

    const PeerRpcClient &m_client;
    PlatformExchange m_http;
    std::string m_url;
    Instant m_deadline;
    std::size_t m_maximumReply;
};

namespace {

/** Puts a text together from pieces that are at hand and pieces that are pulled. */
class TextAssembly
{
public:
    TextAssembly(const std::vector<std::uint64_t> &hashes, const ShelvedText *atHand)
        : m_hashes(hashes), m_pieces(hashes.size())
    {
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const auto known = atHand ? atHand->pieceOf(hashes[i]) : std::nullopt;
            if (known)
                m_pieces[i] = std::string(*known);
            else
                m_missing.push_back(static_cast<std::uint32_t>(i));
        }
    }
    std::size_t missing() const { return m_missing.size(); }
    std::vector<std::uint32_t> nextMissing() const
    {
        const std::size_t count = std::min(MaximumPiecesPerCall, m_missing.size());
        return {m_missing.begin(), m_missing.begin() + static_cast<std::ptrdiff_t>(count)};
    }
    /** False when a piece isn't the one that the manifest names. */
    bool add(const std::vector<std::uint32_t> &indexes, std::vector<std::string> pieces)
    {
        if (pieces.size() != indexes.size())
            return false;
        for (std::size_t i = 0; i < pieces.size(); ++i) {
            if (hashOf(pieces[i]) != m_hashes[indexes[i]])
                return false;
            m_pieces[indexes[i]] = std::move(pieces[i]);
        }
        m_missing.erase(m_missing.begin(),
                        m_missing.begin() + static_cast<std::ptrdiff_t>(indexes.size()));
        return true;
    }
    std::string whole() const
    {
        std::string text;
        for (const std::string &piece : m_pieces)
            text += piece;
        return text;
    }

private:
    const std::vector<std::uint64_t> &m_hashes;
    std::vector<std::string> m_pieces;
    std::vector<std::uint32_t> m_missing;
};

} // namespace

PeerRpcClient::PeerRpcClient(const RpcSeal &seal, const Clock &clock, PlatformCounters &counters,
                             const std::atomic<bool> &stop)
    : m_seal(seal), m_clock(clock), m_counters(counters), m_stop(stop)
{
}

Result<std::string, RpcError> PeerRpcClient::fetchText(const Endpoint &peer, Generation generation,
                                                       std::uint64_t textHash,
                                                       const ShelvedText *atHand, Duration patience)
{
    Connection connection(*this, peer, patience, MaximumTextReply);
    TextQuery query {generation.value(), textHash, {}};
    const auto manifest = connection.call(ManifestMethod, writeQuery(query));
    if (!manifest)
        return manifest.error();
    const auto hashes = readManifest(manifest.value());
    if (!hashes)
        return RpcError::Malformed;
    TextAssembly assembly(*hashes, atHand);
    m_counters.piecesReused += hashes->size() - assembly.missing();
    while (assembly.missing() > 0) {
        query.indexes = assembly.nextMissing();
        const auto reply = connection.call(PiecesMethod, writeQuery(query));
        if (!reply)
            return reply.error();
        auto pieces = readPieces(reply.value());
        if (!pieces || !assembly.add(query.indexes, std::move(*pieces)))
            return RpcError::Malformed;
        m_counters.piecesPulled += query.indexes.size();
    }
    // Pieces of two texts, or of a text that changed meanwhile, must never be taken for one.
    std::string text = assembly.whole();
    if (text.size() > MaximumTextBytes || hashOf(text) != textHash)
        return RpcError::WrongText;
    return text;
}

Result<std::shared_ptr<const KeptAnswer>, RpcError>
PeerRpcClient::fetchAnswer(const Endpoint &peer, const RequestKey &key, Duration patience)
{
    Connection connection(*this, peer, patience, MaximumAnswerReply);
    const auto reply = connection.call(KeptAnswerMethod, writeKey(key));
    if (!reply)
        return reply.error();
    return readKeptAnswer(reply.value());
}

} // namespace Apricothook
