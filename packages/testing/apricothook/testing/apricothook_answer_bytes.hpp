#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** The body of a completion call; see docs/ENGINE-PROTOCOL.md. */
struct CompletionRequest
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 16;
    auto operator<=>(const CompletionRequest &) const = default;
};

/** Reads the JSON body; nothing where it isn't a completion request. */
std::optional<CompletionRequest> parseCompletion(std::string_view body);
std::string completionBody(const CompletionRequest &request);

std::uint32_t promptTokens(const CompletionRequest &request);

/** One SSE event with the token at `index`; it derives from the request alone. */
std::string tokenEvent(const CompletionRequest &request, std::uint32_t index);
/** The usage event and the last event. */
std::string closingEvents(const CompletionRequest &request, std::uint64_t cachedTokens);
/** The whole answer, byte by byte; only `cachedTokens` depends on the engine. */
std::string expectedAnswer(const CompletionRequest &request, std::uint64_t cachedTokens);
/** Whether the body is the whole answer, with any number of cached tokens. */
bool isExpectedAnswer(const CompletionRequest &request, std::string_view body);

/** What a plain stand-in answers to a call; `path` without its query. */
std::string expectedPlainAnswer(std::string_view method, std::string_view path,
                                std::string_view body);

} // namespace Apricothook
