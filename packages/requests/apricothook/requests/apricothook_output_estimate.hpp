#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

#include <cstdint>
#include <unordered_map>

namespace Apricothook {

/** Learns how long the answers of each class are; in tokens. */
class OutputEstimate
{
public:
    /** `maximumTokens` is what the caller allows; 0 where it didn't say. */
    std::uint32_t expected(const RequestClass &requestClass, std::uint32_t maximumTokens) const;
    void learn(const ClassId &requestClass, std::uint32_t outputTokens);

private:
    std::unordered_map<ClassId, double> m_mean;
};

} // namespace Apricothook
