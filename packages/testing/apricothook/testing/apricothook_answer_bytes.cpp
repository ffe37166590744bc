#include <apricothook/testing/apricothook_answer_bytes.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <cstdio>
#include <json/json.h>
#include <memory>

namespace Apricothook {

namespace {

constexpr std::uint32_t BytesPerToken = 4;
constexpr std::string_view CachedField = "\"cachedTokens\":";

std::string hexOf(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t seedOf(const CompletionRequest &request)
{
    return hashOf(request.prompt, hashOf(request.model));
}

std::string tokenEvent(std::uint64_t seed, std::uint32_t index)
{
    return "data: {\"token\":\"" + hexOf(hashOf(std::to_string(index), seed)) + "\"}\n\n";
}

std::uint64_t cachedTokensIn(std::string_view body)
{
    const std::size_t at = body.rfind(CachedField);
    if (at == std::string_view::npos)
        return 0;
    const std::string digits(body.substr(at + CachedField.size(), 20));
    return std::strtoull(digits.c_str(), nullptr, 10);
}

} // namespace

std::optional<CompletionRequest> parseCompletion(std::string_view body)
{
    Json::Value document;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(body.data(), body.data() + body.size(), &document, nullptr)
        || !document.isObject() || !document["model"].isString() || !document["prompt"].isString())
        return std::nullopt;
    CompletionRequest request;
    request.model = document["model"].asString();
    request.prompt = document["prompt"].asString();
    if (document["maxTokens"].isUInt())
        request.maxTokens = std::max(1U, document["maxTokens"].asUInt());
    return request;
}

std::string completionBody(const CompletionRequest &request)
{
    Json::Value document;
    document["model"] = request.model;
    document["prompt"] = request.prompt;
    document["maxTokens"] = request.maxTokens;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, document);
}

std::uint32_t promptTokens(const CompletionRequest &request)
{
    return static_cast<std::uint32_t>((request.prompt.size() + BytesPerToken - 1) / BytesPerToken);
}

std::string tokenEvent(const CompletionRequest &request, std::uint32_t index)
{
    return tokenEvent(seedOf(request), index);
}

std::string closingEvents(const CompletionRequest &request, std::uint64_t cachedTokens)
{
    return "data: {\"usage\":{\"promptTokens\":" + std::to_string(promptTokens(request)) + ","
        + std::string(CachedField) + std::to_string(cachedTokens)
        + ",\"outputTokens\":" + std::to_string(request.maxTokens) + "}}\n\ndata: [DONE]\n\n";
}

std::string expectedAnswer(const CompletionRequest &request, std::uint64_t cachedTokens)
{
    const std::uint64_t seed = seedOf(request);
    std::string answer;
    for (std::uint32_t index = 0; index < request.maxTokens; ++index)
        answer += tokenEvent(seed, index);
    return answer + closingEvents(request, cachedTokens);
}

bool isExpectedAnswer(const CompletionRequest &request, std::string_view body)
{
    return body == expectedAnswer(request, cachedTokensIn(body));
}

std::string expectedPlainAnswer(std::string_view method, std::string_view path,
                                std::string_view body)
{
    const std::uint64_t hash = hashOf(body, hashOf(path, hashOf(method)));
    return "{\"call\":\"" + hexOf(hash) + "\",\"bytes\":" + std::to_string(body.size()) + "}\n";
}

} // namespace Apricothook
