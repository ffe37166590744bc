#include <apricothook/caller/internal/apricothook_problem_document.hpp>

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>

namespace Apricothook {

std::string problemDocument(const Refusal &refusal, const RequestKey &key)
{
    const std::string reason(nameOf(refusal.reason));
    Json::Value document;
    document["type"] = "/problems/" + reason;
    document["title"] = std::string(titleOf(refusal.reason));
    document["status"] = statusOf(refusal.reason);
    document["outcome"] = std::string(nameOf(refusal.outcome));
    document["reason"] = reason;
    if (!key.isEmpty())
        document["key"] = key.text();
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

std::optional<std::int64_t> retryAfterSeconds(const Refusal &refusal)
{
    if (!refusal.retryAfter)
        return std::nullopt;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
    return std::max<std::int64_t>(seconds, 0);
}

} // namespace Apricothook
