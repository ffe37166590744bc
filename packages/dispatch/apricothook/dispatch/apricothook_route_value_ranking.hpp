#pragma once

#include <apricothook/dispatch/apricothook_target_speed.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>

namespace Apricothook {

/**
 * Orders routes by the worth of their requests for what these cost, where there is room for only a
 * part of them. A tier counts TierFactor times the next one and is divided by the route's learned
 * mean cost. Single requests aren't told apart, or the largest of a route would never run.
 */
class WorthOrder
{
public:
    /** Worth of a tier against the one below it. */
    static constexpr double TierFactor = 4;

    /** Costs are in one unit; `least` is the smallest that tells anything. */
    WorthOrder(double usual, double least) : m_usual(usual), m_least(least) { }

    void note(const ClassId &route, Tier tier, double cost);
    /** How often the worth of the best known route is twice that of this one, or more. */
    double halvings(const ClassId &route, Tier tier) const;

private:
    struct Learned
    {
        Tier tier;
        MovingMean cost;
    };

    double worth(Tier tier, const MovingMean &cost) const;

    double m_usual;
    double m_least;
    std::map<ClassId, Learned> m_routes;
};

} // namespace Apricothook
