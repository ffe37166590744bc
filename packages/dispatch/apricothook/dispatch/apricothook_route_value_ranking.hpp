#pragma once

#include <apricothook/dispatch/apricothook_target_speed.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>

namespace Apricothook {

/**
 * Orders routes by the value of their requests per cost, for times when there is capacity for only
 * part of them. A tier counts TierFactor times the next one and is divided by the route's learned
 * mean cost. Requests of one route aren't distinguished, or its largest would never run.
 */
class RouteValueRanking
{
public:
    /** Value of a tier relative to the one below it. */
    static constexpr double TierFactor = 4;

    /**
     * All costs are in one unit; `defaultCost` applies until there are samples, and `minimumCost`
     * is the smallest meaningful cost.
     */
    RouteValueRanking(double defaultCost, double minimumCost)
        : m_defaultCost(defaultCost), m_minimumCost(minimumCost)
    {
    }

    void recordCost(const ClassId &route, Tier tier, double cost);
    /**
     * How many times the value of the best known route can be halved until it is less than twice
     * that of this route.
     */
    double halvingsBelowBest(const ClassId &route, Tier tier) const;

private:
    struct LearnedCost
    {
        Tier tier;
        MovingAverage mean;
    };

    double valuePerCost(Tier tier, const MovingAverage &cost) const;

    double m_defaultCost;
    double m_minimumCost;
    std::map<ClassId, LearnedCost> m_routes;
};

} // namespace Apricothook
