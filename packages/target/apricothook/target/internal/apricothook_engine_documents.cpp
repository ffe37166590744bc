#include <apricothook/target/internal/apricothook_engine_documents.hpp>

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>

namespace Apricothook {

namespace {

constexpr int HashBase = 16;
constexpr std::size_t HashDigits = 16;

/** The reader's depth; a deeper document would be one made to fill the stack. */
constexpr int MaximumDepth = 8;

std::optional<Json::Value> parseObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaximumDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        const bool isRead = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
        if (!isRead || !value.isObject())
            return std::nullopt;
    } catch (const Json::Exception &) {
        return std::nullopt; // Thrown for a document that is too deep.
    }
    return value;
}

std::optional<std::uint64_t> numberOf(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    if (!value.isUInt64())
        return std::nullopt;
    return value.asUInt64();
}

std::optional<std::uint32_t> smallNumberOf(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    if (!value.isUInt())
        return std::nullopt;
    return value.asUInt();
}

std::optional<PrefixHash> prefixOf(const Json::Value &object)
{
    const Json::Value &value = object["prefix"];
    if (!value.isString())
        return std::nullopt;
    const std::string digits = value.asString();
    const char *end = digits.data() + digits.size();
    std::uint64_t hash = 0;
    const auto [stop, error] = std::from_chars(digits.data(), end, hash, HashBase);
    if (digits.size() != HashDigits || error != std::errc() || stop != end)
        return std::nullopt;
    return PrefixHash(hash);
}

std::optional<CacheEvent> cacheEventOf(const Json::Value &object)
{
    if (!object.isObject())
        return std::nullopt;
    const Json::Value &kind = object["kind"];
    const std::optional<std::uint64_t> sequence = numberOf(object, "sequence");
    const std::optional<PrefixHash> prefix = prefixOf(object);
    const bool isKindKnown = kind == "stored" || kind == "evicted";
    if (!sequence || !prefix || !isKindKnown)
        return std::nullopt;
    return CacheEvent {*sequence, kind == "stored", *prefix};
}

const char *nameOf(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::LoadModel:
        return "load-model";
    case EngineOrderKind::UnloadModel:
        return "unload-model";
    case EngineOrderKind::LoadAdapter:
        return "load-adapter";
    case EngineOrderKind::SetRole:
        break;
    }
    return "set-role";
}

} // namespace

Result<LoadReport, DocumentError> parseLoad(const TargetId &target, std::string_view text)
{
    const std::optional<Json::Value> value = parseObject(text);
    if (!value)
        return DocumentError::NotJson;
    const std::optional<std::uint32_t> running = smallNumberOf(*value, "running");
    const std::optional<std::uint32_t> waiting = smallNumberOf(*value, "waiting");
    const std::optional<std::uint64_t> kvTokens = numberOf(*value, "kvTokensUsed");
    const std::optional<std::uint32_t> age = smallNumberOf(*value, "ageMs");
    if (!running || !waiting || !kvTokens || !age)
        return DocumentError::WrongShape;
    return LoadReport {target,   true,      *running,
                       *waiting, *kvTokens, std::chrono::milliseconds(*age)};
}

Result<std::vector<CacheEvent>, DocumentError> parseCacheEvents(std::string_view text,
                                                                std::uint64_t after)
{
    const std::optional<Json::Value> value = parseObject(text);
    if (!value)
        return DocumentError::NotJson;
    const Json::Value &list = (*value)["events"];
    if (!list.isArray())
        return DocumentError::WrongShape;
    std::vector<CacheEvent> events;
    for (const Json::Value &item : list) {
        const std::optional<CacheEvent> event = cacheEventOf(item);
        if (!event)
            return DocumentError::WrongShape;
        if (event->sequence > after)
            events.push_back(*event);
    }
    std::sort(events.begin(), events.end());
    return events;
}

std::string orderDocument(const EngineOrder &order)
{
    Json::Value document;
    document["order"] = nameOf(order.kind);
    document["subject"] = order.subject;
    document["version"] = order.version;
    document["fencing"] = Json::UInt64(order.fencing);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

} // namespace Apricothook
