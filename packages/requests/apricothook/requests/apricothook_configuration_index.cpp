#include <apricothook/requests/apricothook_configuration_index.hpp>

namespace Apricothook {

namespace {

template <typename Map, typename Key>
typename Map::mapped_type findIn(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

ConfigurationIndex::ConfigurationIndex(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    const FleetText &text = m_configuration->text;
    for (const Customer &customer : text.customers) {
        m_customers.emplace(customer.id, &customer);
        for (const std::string &hash : customer.keyHashes)
            m_customersByToken.emplace(hash, &customer);
    }
    for (const RequestClass &requestClass : text.classes)
        m_classes.emplace(requestClass.id, &requestClass);
    for (const Service &service : text.services)
        m_services.emplace(service.id, &service);
    for (const Target &target : text.targets)
        m_targets.emplace(target.id, &target);
}

// The table is searched by the token's SHA-256, so the time it takes tells nothing of the token.
const Customer *ConfigurationIndex::customerOfToken(const std::string &tokenHash) const
{
    return findIn(m_customersByToken, tokenHash);
}

const Customer *ConfigurationIndex::customer(const CustomerId &id) const
{
    return findIn(m_customers, id);
}

const RequestClass *ConfigurationIndex::requestClass(const ClassId &id) const
{
    return findIn(m_classes, id);
}

const Service *ConfigurationIndex::service(const ServiceId &id) const
{
    return findIn(m_services, id);
}

const Target *ConfigurationIndex::target(const TargetId &id) const
{
    return findIn(m_targets, id);
}

} // namespace Apricothook
