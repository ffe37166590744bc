#include <apricothook/dispatch/apricothook_route_table.hpp>

#include <limits>

namespace Apricothook {

RouteTable::RouteTable(ServingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const RouteRule &route : m_configuration.routes)
        m_hosts[route.host].insert_or_assign(route.prefix, &route);
    for (const CustomerRule &customer : m_configuration.customers) {
        for (const std::string &key : customer.keys)
            m_keys.insert_or_assign(key, &customer);
    }
    for (const ServiceRule &service : m_configuration.services)
        m_services.insert_or_assign(service.name, &service);
}

const RouteRule *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto routes = m_hosts.find(host);
    if (routes == m_hosts.end())
        return nullptr;
    // Every prefix ends with a slash, so only the parts of the path that end with a slash can
    // match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end())
            return found->second;
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const CustomerRule *RouteTable::customerOfKey(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const ServiceRule *RouteTable::service(const ServiceId &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const ServiceId &serviceOf(const RouteRule &route, std::uint64_t draw)
{
    double total = 0;
    for (const WeightedService &each : route.services)
        total += each.weight;
    double left = total
        * (static_cast<double>(draw)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
    for (const WeightedService &each : route.services) {
        left -= each.weight;
        if (left < 0)
            return each.service;
    }
    return route.services.back().service;
}

} // namespace Apricothook
