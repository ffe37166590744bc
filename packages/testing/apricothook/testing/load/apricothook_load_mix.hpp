#pragma once

#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/testing/apricothook_answer_bytes.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Apricothook {

/** Smallest and largest; drawn so that each doubling is as likely as the next. */
struct LengthRange
{
    std::uint32_t smallest = 1;
    std::uint32_t largest = 1;
};

/** One kind of request in a mix; engine calls have a model. */
struct LoadKind
{
    std::string name;
    double weight = 1;
    std::string token;
    std::string requestClass;
    int tier = 0;
    Duration patience {};
    std::string service;
    std::string path;
    std::string model;
    LengthRange bodyBytes;
    LengthRange promptBytes;
    LengthRange maxTokens;
    /** Long beginnings that many prompts share, each followed by a growing chat; 0: none. */
    std::uint32_t histories = 0;
    LengthRange historyBytes;

    bool isEngine() const { return !model.empty(); }
};

/** What callers send and how they behave. */
struct LoadMix
{
    std::vector<LoadKind> kinds;
    /** Shares of the requests that are sent again with the same key, or with another body. */
    double resendShare = 0;
    double conflictShare = 0;
    /** Share of callers that go away before the answer. */
    double goneShare = 0;
    /** Callers that read their answer slowly. */
    double slowShare = 0;
    /** Share that shortens the patience by "Prefer: wait". */
    double waitShare = 0;
};

/** One request before it is sent. */
struct LoadRequest
{
    const LoadKind *kind = nullptr;
    CompletionRequest completion;
    std::string body;
    /** Shortened patience, in whole seconds. */
    std::optional<std::uint32_t> waitSeconds;
    bool isResent = false;
    bool isConflicting = false;
    bool isAbandoned = false;
    bool isSlow = false;

    Duration patience() const;
    bool isExpectedAnswer(std::string_view answer) const;
    /** Whether an answer that ended early is right as far as it goes. */
    bool isExpectedBeginning(std::string_view answer) const;
};

/** Reads the mix; tiers and patience of its classes come from the fleet text. Nothing if bad. */
std::optional<LoadMix> parseMix(const std::string &mixText, const std::string &fleetText);

/** Draws requests from a mix; the same seed draws the same requests. */
class LoadSource
{
public:
    LoadSource(const LoadMix &mix, std::uint64_t seed);
    LoadRequest next();
    /** Seconds until the next arrival at that mean rate. */
    double gap(double rate);

private:
    std::uint32_t draw(LengthRange range);
    bool chance(double share);
    std::string prompt(const LoadKind &kind);

    const LoadMix &m_mix;
    std::mt19937_64 m_random;
    std::map<std::pair<const LoadKind *, std::uint32_t>, std::string> m_chats;
};

} // namespace Apricothook
