#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace Apricothook {

/** Finds the things of one configuration by name, at a cost that doesn't grow with their number. */
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(std::shared_ptr<const Configuration> configuration);

    const std::shared_ptr<const Configuration> &configuration() const { return m_configuration; }
    /** Null where there is none; so with the others. */
    const Customer *customerOfToken(const std::string &tokenHash) const;
    const Customer *customer(const CustomerId &id) const;
    const RequestClass *requestClass(const ClassId &id) const;
    const Service *service(const ServiceId &id) const;
    const Target *target(const TargetId &id) const;

private:
    std::shared_ptr<const Configuration> m_configuration;
    std::unordered_map<std::string, const Customer *> m_customersByToken;
    std::unordered_map<CustomerId, const Customer *> m_customers;
    std::unordered_map<ClassId, const RequestClass *> m_classes;
    std::unordered_map<ServiceId, const Service *> m_services;
    std::unordered_map<TargetId, const Target *> m_targets;
};

} // namespace Apricothook
