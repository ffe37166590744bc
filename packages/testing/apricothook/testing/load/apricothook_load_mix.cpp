#include <apricothook/testing/load/apricothook_load_mix.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

constexpr std::string_view CompletionPath = "/v1/completions";
/** A chat that grew this many times over its history starts afresh. */
constexpr std::size_t LargestGrowth = 2;

LengthRange rangeOf(const Json::Value &document, LengthRange fallback)
{
    if (!document.isArray() || document.size() != 2)
        return fallback;
    return {document[0].asUInt(), document[1].asUInt()};
}

LoadKind kindOf(const Json::Value &document)
{
    LoadKind kind;
    kind.path = CompletionPath;
    take(document, "name", kind.name);
    take(document, "weight", kind.weight);
    take(document, "token", kind.token);
    take(document, "class", kind.requestClass);
    take(document, "service", kind.service);
    take(document, "path", kind.path);
    take(document, "model", kind.model);
    take(document, "histories", kind.histories);
    kind.bodyBytes = rangeOf(document["bodyBytes"], {20, 60});
    kind.promptBytes = rangeOf(document["promptBytes"], {100, 1000});
    kind.maxTokens = rangeOf(document["maxTokens"], {10, 100});
    kind.historyBytes = rangeOf(document["historyBytes"], {1000, 10000});
    return kind;
}

bool takeClass(LoadKind &kind, const Json::Value &fleet)
{
    for (const Json::Value &entry : fleet["classes"]) {
        if (entry["id"].asString() != kind.requestClass)
            continue;
        kind.tier = entry["tier"].asInt();
        kind.patience
            = std::chrono::microseconds(std::llround(entry["patienceSeconds"].asDouble() * 1e6));
        return true;
    }
    return false;
}

std::string textOfLength(std::mt19937_64 &random, std::size_t bytes)
{
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz     .";
    std::string text(bytes, ' ');
    std::uint64_t bits = 0;
    for (std::size_t at = 0; at < bytes; ++at) {
        if (at % 12 == 0)
            bits = random();
        text[at] = Letters[bits % Letters.size()];
        bits /= Letters.size();
    }
    return text;
}

} // namespace

Duration LoadRequest::patience() const
{
    const Duration wait = std::chrono::seconds(waitSeconds.value_or(3600));
    return std::min(kind->patience, wait);
}

bool LoadRequest::isExpectedAnswer(std::string_view answer) const
{
    return kind->isEngine() ? Apricothook::isExpectedAnswer(completion, answer)
                            : answer == expectedPlainAnswer("POST", kind->path, body);
}

bool LoadRequest::isExpectedBeginning(std::string_view answer) const
{
    if (!kind->isEngine())
        return expectedPlainAnswer("POST", kind->path, body).starts_with(answer);
    const std::string tokens
        = expectedAnswer(completion, 0)
              .substr(0, completion.maxTokens * tokenEvent(completion, 0).size());
    const std::size_t count = std::min(tokens.size(), answer.size());
    return answer.substr(0, count) == std::string_view(tokens).substr(0, count);
}

std::optional<LoadMix> parseMix(const std::string &mixText, const std::string &fleetText)
{
    const Json::Value document = jsonOf(mixText);
    const Json::Value fleet = jsonOf(fleetText);
    LoadMix mix;
    for (const Json::Value &request : document["requests"]) {
        mix.kinds.push_back(kindOf(request));
        if (!takeClass(mix.kinds.back(), fleet))
            return std::nullopt;
    }
    take(document, "resendShare", mix.resendShare);
    take(document, "conflictShare", mix.conflictShare);
    take(document, "goneShare", mix.goneShare);
    take(document, "slowShare", mix.slowShare);
    take(document, "waitShare", mix.waitShare);
    if (mix.kinds.empty())
        return std::nullopt;
    return mix;
}

LoadSource::LoadSource(const LoadMix &mix, std::uint64_t seed) : m_mix(mix), m_random(seed) { }

std::uint32_t LoadSource::draw(LengthRange range)
{
    const double low = std::log(std::max(1U, range.smallest));
    const double high = std::log(std::max(range.smallest, range.largest));
    const double drawn = std::uniform_real_distribution<double>(low, high + 1e-9)(m_random);
    return static_cast<std::uint32_t>(std::lround(std::exp(drawn)));
}

bool LoadSource::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

double LoadSource::gap(double rate)
{
    return std::exponential_distribution<double>(rate)(m_random);
}

std::string LoadSource::prompt(const LoadKind &kind)
{
    if (kind.histories == 0)
        return textOfLength(m_random, draw(kind.promptBytes));
    const std::uint32_t history = static_cast<std::uint32_t>(m_random() % kind.histories);
    std::string &chat = m_chats[{&kind, history}];
    if (chat.empty() || chat.size() > LargestGrowth * kind.historyBytes.largest)
        chat = textOfLength(m_random, draw(kind.historyBytes));
    chat += textOfLength(m_random, draw(kind.promptBytes));
    return chat;
}

LoadRequest LoadSource::next()
{
    std::vector<double> weights;
    for (const LoadKind &kind : m_mix.kinds)
        weights.push_back(kind.weight);
    LoadRequest request;
    request.kind = &m_mix.kinds[std::discrete_distribution<std::size_t>(weights.begin(),
                                                                        weights.end())(m_random)];
    const LoadKind &kind = *request.kind;
    if (kind.isEngine()) {
        request.completion = {kind.model, prompt(kind), draw(kind.maxTokens)};
        request.body = completionBody(request.completion);
    } else {
        request.body = textOfLength(m_random, draw(kind.bodyBytes));
    }
    if (chance(m_mix.waitShare))
        request.waitSeconds = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>(kind.patience / std::chrono::seconds(2)));
    request.isResent = chance(m_mix.resendShare);
    request.isConflicting = chance(m_mix.conflictShare);
    request.isAbandoned = chance(m_mix.goneShare);
    request.isSlow = m_mix.slowShare > 0 && chance(m_mix.slowShare);
    return request;
}

} // namespace Apricothook
