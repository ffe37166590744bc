#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <json/json.h>

namespace Apricothook {

Json::Value jsonOf(const std::string &body)
{
    Json::Value document;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const bool isRead = reader->parse(body.data(), body.data() + body.size(), &document, nullptr);
    return isRead && document.isObject() ? document : Json::Value();
}

std::string textOf(const Json::Value &document)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

HttpReply jsonReply(const Json::Value &document, int status)
{
    HttpReply reply;
    reply.status = status;
    reply.headers["Content-Type"] = "application/json";
    reply.body = textOf(document);
    return reply;
}

void take(const Json::Value &document, const char *member, bool &value)
{
    if (document[member].isBool())
        value = document[member].asBool();
}

void take(const Json::Value &document, const char *member, double &value)
{
    if (document[member].isNumeric())
        value = document[member].asDouble();
}

void take(const Json::Value &document, const char *member, std::uint32_t &value)
{
    if (document[member].isUInt())
        value = document[member].asUInt();
}

void take(const Json::Value &document, const char *member, std::uint64_t &value)
{
    if (document[member].isUInt64())
        value = document[member].asUInt64();
}

void take(const Json::Value &document, const char *member, std::string &value)
{
    if (document[member].isString())
        value = document[member].asString();
}

} // namespace Apricothook
