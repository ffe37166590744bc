#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <charconv>
#include <memory>

namespace Apricothook {

namespace {

constexpr std::string_view AfterParameter = "?after=";

Result<ItemChange, ItemProtocolError> parseChange(const Json::Value &item)
{
    if (!item.isObject() || !item["key"].isString() || !item["revision"].isUInt64())
        return ItemProtocolError::Malformed;
    ItemChange change {item["key"].asString(), std::nullopt, item["revision"].asUInt64()};
    if (item["value"].isString())
        change.value = item["value"].asString();
    return change;
}

} // namespace

std::string peerItemsPath(Revision after)
{
    return std::string(PeerItemsPath) + std::string(AfterParameter) + std::to_string(after);
}

std::optional<Revision> requestedRevision(std::string_view target)
{
    const std::string start = std::string(PeerItemsPath) + std::string(AfterParameter);
    if (!target.starts_with(start))
        return std::nullopt;
    target.remove_prefix(start.size());
    Revision after = 0;
    const auto read = std::from_chars(target.data(), target.data() + target.size(), after);
    if (read.ec != std::errc() || read.ptr != target.data() + target.size())
        return std::nullopt;
    return after;
}

std::string writeItemUpdate(const ItemUpdate &update)
{
    Json::Value document(Json::objectValue);
    document["revision"] = static_cast<Json::UInt64>(update.revision);
    document["whole"] = update.isSnapshot;
    document["changes"] = Json::Value(Json::arrayValue);
    for (const ItemChange &change : update.changes) {
        Json::Value item(Json::objectValue);
        item["key"] = change.key;
        item["revision"] = static_cast<Json::UInt64>(change.revision);
        if (change.value)
            item["value"] = *change.value;
        document["changes"].append(std::move(item));
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

Result<ItemUpdate, ItemProtocolError> parseItemUpdate(std::string_view text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value document;
    if (!reader->parse(text.data(), text.data() + text.size(), &document, nullptr)
        || !document.isObject() || !document["revision"].isUInt64() || !document["whole"].isBool()
        || !document["changes"].isArray())
        return ItemProtocolError::Malformed;
    ItemUpdate update;
    update.revision = document["revision"].asUInt64();
    update.isSnapshot = document["whole"].asBool();
    for (const Json::Value &item : document["changes"]) {
        const Result<ItemChange, ItemProtocolError> change = parseChange(item);
        if (!change)
            return change.error();
        update.changes.push_back(change.value());
    }
    return update;
}

} // namespace Apricothook
