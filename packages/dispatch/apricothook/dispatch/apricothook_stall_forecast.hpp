#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>

namespace Apricothook {

/** A target's speed and unread prompts, as far as a new prompt there delays running streams. */
struct PromptBacklog
{
    /** Milliseconds in which the target reads a token of a prompt. */
    double millisecondsPerToken = 0;
    /** Milliseconds between the events of a stream while no prompt is read. */
    double eventGap = 0;
    /** Tokens of prompts that were sent to the target and haven't been read. */
    std::uint64_t unreadTokens = 0;

    auto operator<=>(const PromptBacklog &) const = default;
};

/**
 * Forecasts how long running streams pause at a target that gets one more prompt.
 *
 * An engine reads prompts in chunks between the steps of its running streams, and an event holds
 * the tokens of several steps. The next event of every stream is therefore late by about the time
 * in which the target reads its unread prompts. A pause that is longer than the gap objective makes
 * all of these streams late.
 *
 * Load pattern: prompts whose lengths differ a hundredfold, at targets of unlike speed. On a
 * benchmark day of 35 daemons 45 in 100 streams at the slow third of the targets had such a pause,
 * and 63 in 100 of those that ran while a prompt of over 40,000 tokens was read.
 */
class StallForecast
{
public:
    /**
     * Fraction of the gap objective that a forecast may use. The learned speed is an average, and
     * targets are up to 2.5 times slower for some hundred milliseconds. With a fraction of 0.8, 35
     * in 100 streams at slow targets had a longer pause than the objective though the forecast was
     * within it.
     */
    static constexpr double PauseMargin = 0.4;
    /**
     * A prompt that is too long for every target may go to those that need at most this multiple of
     * the fastest one's time.
     */
    static constexpr double FastestTolerance = 1.3;

    /** `gapObjective`: zero means that pauses aren't limited. */
    StallForecast(Duration gapObjective, std::uint64_t promptTokens);

    /** Takes a healthy target into account for the shortest pause that the prompt can cause. */
    void addCandidate(const PromptBacklog &target);
    /** Milliseconds for which streams pause if the prompt is sent to the target. */
    double pause(const PromptBacklog &target) const;
    /** Milliseconds; the shortest pause that some target needs may be longer than the objective. */
    double limit() const;
    bool isExceeded(const PromptBacklog &target) const;

private:
    double m_objective = 0;
    std::uint64_t m_promptTokens = 0;
    double m_shortestPause = 0;
    bool m_hasCandidate = false;
};

} // namespace Apricothook
