#include <apricothook/configservice/internal/apricothook_rpc_documents.hpp>

#include <apricothook/configservice/internal/apricothook_json_document.hpp>
#include <apricothook/peers/apricothook_base64.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr Json::ArrayIndex MaximumHeaders = 256;

/** The array under a name, when it is one and no longer than the bound. */
const Json::Value *arrayOf(const Json::Value &object, const char *name, std::size_t maximum)
{
    const Json::Value &array = object[name];
    return array.isArray() && array.size() <= maximum ? &array : nullptr;
}

std::optional<Header> headerOf(const Json::Value &value)
{
    if (!value.isArray() || value.size() != 2 || !value[0].isString() || !value[1].isString())
        return std::nullopt;
    return Header {value[0].asString(), value[1].asString()};
}

std::optional<std::vector<Header>> headersOf(const Json::Value &object)
{
    const Json::Value *array = arrayOf(object, "headers", MaximumHeaders);
    if (!array)
        return std::nullopt;
    std::vector<Header> headers;
    for (const Json::Value &value : *array) {
        std::optional<Header> header = headerOf(value);
        if (!header)
            return std::nullopt;
        headers.push_back(std::move(*header));
    }
    return headers;
}

} // namespace

Json::Value toJson(const SealedCall &call)
{
    Json::Value value;
    value["body"] = call.body;
    value["time"] = Json::Value::UInt64(call.time);
    value["nonce"] = call.nonce;
    value["key"] = Json::Value::UInt64(call.key);
    value["mac"] = call.mac;
    return value;
}

SealedCall sealedCallOf(const Json::Value &value)
{
    SealedCall call;
    call.body = value["body"].asString();
    call.nonce = value["nonce"].asString();
    call.mac = value["mac"].asString();
    // Numbers out of range stay 0, which no seal fits.
    if (value["time"].isUInt64())
        call.time = value["time"].asUInt64();
    if (value["key"].isUInt())
        call.key = value["key"].asUInt();
    return call;
}

Json::Value toJson(const SealedReply &reply)
{
    Json::Value value;
    value["body"] = reply.body;
    value["mac"] = reply.mac;
    return value;
}

std::optional<SealedReply> sealedReplyOf(const Json::Value &value)
{
    if (!value.isObject() || !value["body"].isString() || !value["mac"].isString())
        return std::nullopt;
    return SealedReply {value["body"].asString(), value["mac"].asString()};
}

std::string writeQuery(const TextQuery &query)
{
    Json::Value value;
    value["generation"] = hexOf(query.generation);
    value["hash"] = hexOf(query.textHash);
    value["indexes"] = Json::Value(Json::arrayValue);
    for (const std::uint32_t index : query.indexes)
        value["indexes"].append(index);
    return writeJson(value);
}

std::optional<TextQuery> readQuery(const std::string &body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    if (!value)
        return std::nullopt;
    const auto generation = fromHex((*value)["generation"]);
    const auto hash = fromHex((*value)["hash"]);
    const Json::Value *indexes = arrayOf(*value, "indexes", MaximumPiecesPerCall);
    if (!generation || !hash || !indexes)
        return std::nullopt;
    TextQuery query {*generation, *hash, {}};
    for (const Json::Value &index : *indexes) {
        if (!index.isUInt())
            return std::nullopt;
        query.indexes.push_back(index.asUInt());
    }
    return query;
}

std::string writeManifest(const std::vector<std::uint64_t> &hashes)
{
    Json::Value value;
    value["pieces"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t hash : hashes)
        value["pieces"].append(hexOf(hash));
    return writeJson(value);
}

std::optional<std::vector<std::uint64_t>> readManifest(const std::string &body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    const Json::Value *pieces = value ? arrayOf(*value, "pieces", MaximumPieces) : nullptr;
    if (!pieces)
        return std::nullopt;
    std::vector<std::uint64_t> hashes;
    for (const Json::Value &piece : *pieces) {
        const auto hash = fromHex(piece);
        if (!hash)
            return std::nullopt;
        hashes.push_back(*hash);
    }
    return hashes;
}

std::string writePieces(const std::vector<std::string> &pieces)
{
    Json::Value value;
    value["pieces"] = Json::Value(Json::arrayValue);
    for (const std::string &piece : pieces)
        value["pieces"].append(toBase64(piece));
    return writeJson(value);
}

std::optional<std::vector<std::string>> readPieces(const std::string &body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    const Json::Value *array = value ? arrayOf(*value, "pieces", MaximumPiecesPerCall) : nullptr;
    if (!array)
        return std::nullopt;
    std::vector<std::string> pieces;
    for (const Json::Value &piece : *array) {
        auto bytes = piece.isString() ? fromBase64(piece.asString()) : std::nullopt;
        if (!bytes || bytes->size() > MaximumPieceBytes)
            return std::nullopt;
        pieces.push_back(std::move(*bytes));
    }
    return pieces;
}

std::string writeKey(const RequestKey &key)
{
    Json::Value value;
    value["key"] = toBase64(key.text());
    return writeJson(value);
}

std::optional<RequestKey> readKey(const std::string &body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    if (!value || !(*value)["key"].isString())
        return std::nullopt;
    const auto key = fromBase64((*value)["key"].asString());
    if (!key || key->size() > MaximumKeyBytes)
        return std::nullopt;
    return RequestKey(*key);
}

std::string writeKeptAnswer(const KeptAnswer *answer)
{
    Json::Value value(Json::objectValue);
    if (answer) {
        value["status"] = answer->head.status;
        value["headers"] = Json::Value(Json::arrayValue);
        for (const Header &header : answer->head.headers) {
            Json::Value pair(Json::arrayValue);
            pair.append(header.name);
            pair.append(header.value);
            value["headers"].append(pair);
        }
        value["body"] = toBase64(answer->body);
    }
    return writeJson(value);
}

std::shared_ptr<const KeptAnswer> readKeptAnswer(const std::string &body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    if (!value || !(*value)["status"].isInt() || !(*value)["body"].isString())
        return nullptr;
    auto headers = headersOf(*value);
    auto bytes = fromBase64((*value)["body"].asString());
    if (!headers || !bytes)
        return nullptr;
    return std::make_shared<const KeptAnswer>(KeptAnswer {
        AnswerHead {(*value)["status"].asInt(), std::move(*headers)}, std::move(*bytes)});
}

} // namespace Apricothook
