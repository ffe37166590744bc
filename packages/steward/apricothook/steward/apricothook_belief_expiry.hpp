#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** How belief in a cached prefix fades with the time since it was last used or heard of. */
class BeliefExpiry
{
public:
    virtual ~BeliefExpiry() = default;
    /** Share of the prefix's tokens to count as cached, in [0, 1]; never grows with the age. */
    virtual double confidence(Duration age) const = 0;
};

/** Full belief up to a fixed age, none after it. */
class FixedExpiry : public BeliefExpiry
{
public:
    explicit FixedExpiry(Duration life) : m_life(life) { }
    double confidence(Duration age) const override { return age < m_life ? 1.0 : 0.0; }

private:
    Duration m_life;
};

} // namespace Apricothook
