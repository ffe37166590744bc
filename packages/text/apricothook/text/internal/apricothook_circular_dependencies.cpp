#include <apricothook/text/internal/apricothook_circular_dependencies.hpp>

#include <apricothook/text/apricothook_printable.hpp>

#include <algorithm>
#include <map>

namespace Apricothook {

namespace {

using Edges = std::vector<std::vector<std::size_t>>;

Edges edgesOf(const std::vector<Service> &services)
{
    std::map<ServiceId, std::size_t> indices;
    for (std::size_t index = 0; index < services.size(); ++index)
        indices.emplace(services[index].id, index);
    Edges edges(services.size());
    for (std::size_t index = 0; index < services.size(); ++index) {
        for (const ServiceId &needed : services[index].dependsOn) {
            const auto found = indices.find(needed);
            if (found != indices.end())
                edges[index].push_back(found->second);
        }
    }
    return edges;
}

/**
 * Whether each service leads into a circle: takes off services without open dependencies until
 * none is left to take off (topological order by Kahn).
 */
std::vector<bool> leadIntoCircle(const Edges &edges)
{
    Edges dependents(edges.size());
    std::vector<std::size_t> open(edges.size());
    std::vector<std::size_t> free;
    for (std::size_t index = 0; index < edges.size(); ++index) {
        open[index] = edges[index].size();
        for (const std::size_t needed : edges[index])
            dependents[needed].push_back(index);
        if (open[index] == 0)
            free.push_back(index);
    }
    std::vector<bool> left(edges.size(), true);
    while (!free.empty()) {
        const std::size_t done = free.back();
        free.pop_back();
        left[done] = false;
        for (const std::size_t dependent : dependents[done]) {
            if (--open[dependent] == 0)
                free.push_back(dependent);
        }
    }
    return left;
}

std::size_t nextOf(std::size_t index, const Edges &edges, const std::vector<bool> &left)
{
    return *std::find_if(edges[index].begin(), edges[index].end(),
                         [&](std::size_t needed) { return left[needed]; });
}

/** Starts the circle at its first service in the text, so that the error is stable. */
DependencyCircle startedAtFirst(DependencyCircle circle)
{
    std::rotate(circle.begin(), std::min_element(circle.begin(), circle.end()), circle.end());
    return circle;
}

} // namespace

std::vector<DependencyCircle> circularDependenciesOf(const std::vector<Service> &services)
{
    constexpr std::size_t NotWalked = 0;
    const Edges edges = edgesOf(services);
    const std::vector<bool> left = leadIntoCircle(edges);
    std::vector<std::size_t> walkOf(edges.size(), NotWalked);
    std::vector<DependencyCircle> circles;
    for (std::size_t start = 0; start < edges.size(); ++start) {
        if (!left[start] || walkOf[start] != NotWalked)
            continue;
        const std::size_t walk = start + 1;
        std::vector<std::size_t> steps;
        std::size_t index = start;
        for (; walkOf[index] == NotWalked; index = nextOf(index, edges, left)) {
            walkOf[index] = walk;
            steps.push_back(index);
        }
        if (walkOf[index] == walk)
            circles.push_back(
                startedAtFirst({std::find(steps.begin(), steps.end(), index), steps.end()}));
    }
    return circles;
}

std::string describe(const DependencyCircle &circle, const std::vector<Service> &services)
{
    std::string told;
    for (const std::size_t index : circle)
        told += printable(services[index].id.text()) + " -> ";
    return told + printable(services[circle.front()].id.text());
}

} // namespace Apricothook
