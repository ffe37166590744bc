#include <apricothook/requests/apricothook_output_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

constexpr double LearningRate = 0.05;

void move(double &value, double towards)
{
    value += LearningRate * (towards - value);
}

} // namespace

double OutputEstimate::Learned::meanGuess(std::uint32_t maximumTokens) const
{
    return maximumTokens == 0 ? mean : std::min<double>(mean, maximumTokens);
}

std::uint32_t OutputEstimate::expected(const RequestClass &requestClass,
                                       std::uint32_t maximumTokens) const
{
    const auto found = m_learned.find(requestClass.id);
    Learned learned;
    learned.mean = requestClass.expectedTokens;
    if (found != m_learned.end())
        learned = found->second;
    const bool isShareBetter = maximumTokens > 0 && learned.shareMiss < learned.meanMiss;
    const double guess
        = isShareBetter ? learned.share * maximumTokens : learned.meanGuess(maximumTokens);
    return static_cast<std::uint32_t>(std::lround(guess));
}

void OutputEstimate::learn(const ClassId &requestClass, std::uint32_t outputTokens,
                           std::uint32_t maximumTokens)
{
    const double share = maximumTokens > 0 ? double(outputTokens) / maximumTokens : 0;
    const auto [entry, isNew] = m_learned.try_emplace(requestClass);
    Learned &learned = entry->second;
    if (isNew) {
        learned.mean = outputTokens;
        learned.share = share;
        return;
    }
    if (maximumTokens > 0) {
        const double shareGuess = learned.share * maximumTokens;
        move(learned.meanMiss, std::abs(learned.meanGuess(maximumTokens) - outputTokens));
        move(learned.shareMiss, std::abs(shareGuess - outputTokens));
        move(learned.share, share);
    }
    move(learned.mean, outputTokens);
}

} // namespace Apricothook
