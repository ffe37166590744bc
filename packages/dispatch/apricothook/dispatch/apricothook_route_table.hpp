#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>

namespace Apricothook {

/** An immutable index of one configuration, shared by the requests that are served under it. */
class RouteTable
{
public:
    explicit RouteTable(ServingConfiguration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const ServingConfiguration &configuration() const { return m_configuration; }
    /** Returns the host's route with the longest prefix of the path; null if there is none. */
    const RouteRule *route(std::string_view host, std::string_view path) const;
    /** Null if no customer has the key. */
    const CustomerRule *customerOfKey(std::string_view key) const;
    const ServiceRule *service(const ServiceId &name) const;
    bool hasCustomers() const { return !m_configuration.customers.empty(); }

private:
    using RoutesByPrefix = std::map<std::string, const RouteRule *, std::less<>>;

    const ServingConfiguration m_configuration;
    std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
    std::map<std::string, const CustomerRule *, std::less<>> m_keys;
    std::map<ServiceId, const ServiceRule *> m_services;
};

/** Selects the service for one request by weight; `draw` is a uniform random number. */
const ServiceId &serviceOf(const RouteRule &route, std::uint64_t draw);

} // namespace Apricothook
