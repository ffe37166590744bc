#include <apricothook/caller/apricothook_request_sketch.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>

namespace Apricothook {

namespace {

constexpr std::size_t BlockBytes = 1024;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t MaximumStructure = 1024;
constexpr int MaximumDepth = 32;
constexpr std::size_t MaximumModelBytes = 256;

std::uint32_t tokensIn(std::size_t bytes)
{
    const std::size_t tokens = (bytes + BytesPerToken - 1) / BytesPerToken;
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

/**
 * Whether a document has few enough values to be parsed. A parsed value takes some sixty bytes, so
 * that eight megabytes of "[0,0,0," would take half a gigabyte; a completion is one long string
 * and a few fields.
 */
bool hasFewValues(std::string_view json)
{
    std::size_t structure = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < json.size() && structure <= MaximumStructure; ++at) {
        const char byte = json[at];
        if (isInString && byte == '\\')
            ++at;
        else if (byte == '"')
            isInString = !isInString;
        else if (!isInString && (byte == ',' || byte == ':' || byte == '[' || byte == '{'))
            ++structure;
    }
    return structure <= MaximumStructure;
}

bool looksLikeCompletion(const SketchSource &source)
{
    return source.method == "POST" && source.contentType.find("json") != std::string_view::npos
        && source.body.find("\"prompt\"") != std::string_view::npos && hasFewValues(source.body);
}

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaximumDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return std::nullopt;
    } catch (const Json::Exception &) {
        // The reader throws where a document is nested too deeply.
        return std::nullopt;
    }
    return value;
}

std::uint32_t maximumTokensOf(const Json::Value &completion)
{
    const Json::Value &tokens = completion["maxTokens"];
    return tokens.isUInt() ? tokens.asUInt() : 0;
}

std::string modelOf(const Json::Value &completion)
{
    const Json::Value &model = completion["model"];
    if (!model.isString() || model.asString().size() > MaximumModelBytes)
        return {};
    return model.asString();
}

/** False when the body isn't a completion. */
bool readCompletion(std::string_view body, RequestProfile &sketch)
{
    const std::optional<Json::Value> completion = parseJson(body);
    if (!completion || !completion->isObject() || !(*completion)["prompt"].isString())
        return false;
    const std::string prompt = (*completion)["prompt"].asString();
    sketch.model = ModelId(modelOf(*completion));
    sketch.promptTokens = tokensIn(prompt.size());
    sketch.maximumTokens = maximumTokensOf(*completion);
    sketch.prefixes = prefixHashesOf(prompt);
    return true;
}

Fingerprint fingerprintOf(const SketchSource &source)
{
    std::uint64_t hash = hashOf(source.method);
    hash = hashOf(source.service, hash);
    hash = hashOf(source.path, hash);
    return Fingerprint(hashOf(source.body, hash));
}

} // namespace

RequestProfile sketchOf(const SketchSource &source)
{
    RequestProfile sketch;
    sketch.fingerprint = fingerprintOf(source);
    if (!looksLikeCompletion(source) || !readCompletion(source.body, sketch))
        sketch.promptTokens = tokensIn(source.body.size());
    return sketch;
}

std::vector<PrefixHash> prefixHashesOf(std::string_view prompt)
{
    std::vector<PrefixHash> prefixes;
    std::uint64_t hash = 0;
    std::size_t nextKept = 1;
    const std::size_t blocks = prompt.size() / BlockBytes;
    for (std::size_t block = 1; block <= blocks && prefixes.size() < MaximumPrefixes; ++block) {
        hash = hashOf(prompt.substr((block - 1) * BlockBytes, BlockBytes), hash);
        if (block != nextKept)
            continue;
        prefixes.emplace_back(hash);
        nextKept *= 2;
    }
    return prefixes;
}

} // namespace Apricothook
