#include <apricothook/requests/apricothook_output_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {
constexpr double LearningRate = 0.05;
}

std::uint32_t OutputEstimate::expected(const RequestClass &requestClass,
                                       std::uint32_t maximumTokens) const
{
    const auto learned = m_mean.find(requestClass.id);
    const double mean = learned == m_mean.end() ? requestClass.expectedTokens : learned->second;
    const auto expected = static_cast<std::uint32_t>(std::lround(mean));
    return maximumTokens == 0 ? expected : std::min(expected, maximumTokens);
}

void OutputEstimate::learn(const ClassId &requestClass, std::uint32_t outputTokens)
{
    const auto [learned, isNew] = m_mean.try_emplace(requestClass, outputTokens);
    if (!isNew)
        learned->second += LearningRate * (outputTokens - learned->second);
}

} // namespace Apricothook
