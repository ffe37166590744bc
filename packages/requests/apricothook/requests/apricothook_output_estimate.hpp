#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

#include <cstdint>
#include <unordered_map>

namespace Apricothook {

/**
 * Learns how long the answers of each class are; in tokens.
 *
 * Some callers ask for about what they need, and the maximum that they allow tells the length;
 * others write the same large maximum everywhere, and only the mean of the class does. Both guesses
 * are kept, and the one that has missed by less lately is taken.
 */
class OutputEstimate
{
public:
    /** `maximumTokens` is what the caller allows; 0 where it didn't say. */
    std::uint32_t expected(const RequestClass &requestClass, std::uint32_t maximumTokens) const;
    void learn(const ClassId &requestClass, std::uint32_t outputTokens,
               std::uint32_t maximumTokens);

private:
    struct Learned
    {
        double mean = 0;
        /** Output over the maximum that was allowed. */
        double share = 0;
        double meanMiss = 0;
        double shareMiss = 0;

        double meanGuess(std::uint32_t maximumTokens) const;
    };

    std::unordered_map<ClassId, Learned> m_learned;
};

} // namespace Apricothook
