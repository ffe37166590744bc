#include <apricothook/homes/apricothook_home_map.hpp>

#include <algorithm>

namespace Apricothook {

HomeMap::HomeMap(MemberId self, TicketReader reader)
    : m_self(std::move(self)), m_reader(std::move(reader))
{
}

bool HomeMap::apply(const Configuration &configuration, Instant now)
{
    if (!m_versions.empty() && configuration.generation <= m_generation)
        return false;
    m_generation = configuration.generation;
    // A shorter window must not end the memory that the longer one promised: it only grows.
    m_window = std::max(m_window, configuration.text.policy.deduplicationWindow);
    if (m_versions.empty())
        m_window = configuration.text.policy.deduplicationWindow;
    forgetOld(now);
    const bool isNewRoster = applyRoster(configuration.text, now);
    const bool isNewRegion = applyCustomers(configuration.text, now);
    return isNewRoster || isNewRegion;
}

bool HomeMap::applyRoster(const FleetText &text, Instant now)
{
    std::map<DataCentreId, RegionId> regions;
    for (const DataCentre &dataCentre : text.dataCentres)
        regions[dataCentre.id] = dataCentre.region;
    std::map<RegionId, std::vector<MemberId>> rosters;
    std::vector<MemberId> all;
    for (const RosterEntry &entry : text.roster) {
        rosters[regions[entry.dataCentre]].push_back(entry.id);
        all.push_back(entry.id);
    }
    for (auto &[region, members] : rosters)
        std::sort(members.begin(), members.end());
    const auto isSame = [](const auto &table, const auto &roster) {
        return table.first == roster.first && table.second.members() == roster.second;
    };
    if (!m_versions.empty() && std::ranges::equal(m_versions.back().byRegion, rosters, isSame))
        return false;
    Version version;
    for (auto &[region, members] : rosters)
        version.byRegion.emplace(region, HomeTable(std::move(members)));
    version.all = HomeTable(std::move(all));
    const bool isChange = !m_versions.empty();
    if (isChange)
        closeVersion(now);
    m_versions.push_back(std::move(version));
    return isChange;
}

void HomeMap::closeVersion(Instant now)
{
    Version &last = m_versions.back();
    last.successor = m_generation;
    last.replacedAt = now;
    last.confirmed.emplace(m_self, now);
}

bool HomeMap::applyCustomers(const FleetText &text, Instant now)
{
    bool isChange = false;
    for (const Customer &customer : text.customers) {
        std::vector<CustomerRegion> &regions = m_regions[customer.id];
        if (!regions.empty() && !regions.back().replacedAt
            && regions.back().region == customer.homeRegion)
            continue;
        isChange = isChange || !regions.empty();
        if (!regions.empty() && !regions.back().replacedAt)
            regions.back().replacedAt = now;
        regions.push_back({customer.homeRegion, std::nullopt});
    }
    std::vector<CustomerId> present;
    for (const Customer &customer : text.customers)
        present.push_back(customer.id);
    std::sort(present.begin(), present.end());
    for (auto &[customer, regions] : m_regions) {
        if (!std::binary_search(present.begin(), present.end(), customer)
            && !regions.back().replacedAt)
            regions.back().replacedAt = now;
    }
    return isChange;
}

void HomeMap::noteGeneration(const MemberId &member, Generation generation, Instant now)
{
    for (Version &version : m_versions) {
        if (version.replacedAt && generation >= version.successor)
            version.confirmed.emplace(member, now);
    }
}

Result<HomeChoice, HomeError> HomeMap::homesOf(const RequestKey &key, const CustomerId &customer,
                                               Instant now) const
{
    const auto ticket = m_reader.read(key);
    if (!ticket)
        return HomeError::BadTicket;
    if (ticket.value())
        return HomeChoice {{ticket.value()->home.member}, ticket.value()->home.incarnation};
    if (m_versions.empty() || m_versions.back().all.isEmpty())
        return HomeError::NotConfigured;
    const auto regions = m_regions.find(customer);
    // A customer who was taken out of the text still has requests in flight, which end under the
    // generation that admitted them; new ones are turned away at the entry.
    if (regions == m_regions.end())
        return HomeError::UnknownCustomer;
    std::vector<MemberId> homes = rosterHomes(key, regions->second, now);
    if (homes.empty())
        return HomeError::UnknownCustomer;
    if (homes.size() > MaximumHomes)
        return HomeError::TooManyHomes;
    return HomeChoice {std::move(homes), std::nullopt};
}

std::vector<MemberId> HomeMap::rosterHomes(const RequestKey &key,
                                           const std::vector<CustomerRegion> &regions,
                                           Instant now) const
{
    std::vector<MemberId> homes;
    for (const Version &version : m_versions) {
        if (version.all.isEmpty())
            continue;
        for (const CustomerRegion &region : regions) {
            // The members that had the old region learn the new one with the same generation as
            // this daemon; the longest need covers one that lags.
            if (region.replacedAt && now >= longestNeed(*region.replacedAt))
                continue;
            const MemberId &home = tableOf(version, region.region).homeOf(key);
            if (isNeeded(version, home, now))
                homes.push_back(home);
        }
    }
    std::sort(homes.begin(), homes.end());
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

Instant HomeMap::longestNeed(Instant replacedAt) const
{
    return replacedAt + MaximumUnconfirmedWindows * m_window;
}

bool HomeMap::isNeeded(const Version &version, const MemberId &home, Instant now) const
{
    if (!version.replacedAt)
        return true;
    // A home that was cut off goes on granting under the old roster, alone. If it were dropped
    // after a fixed time, a key could be granted by it and by the new home: two dispatches. So it
    // is dropped a window after it is known to have learned the change, from when on it grants
    // nobody who doesn't ask the new home too.
    const auto confirmed = version.confirmed.find(home);
    if (confirmed != version.confirmed.end())
        return now < confirmed->second + m_window;
    return now < longestNeed(*version.replacedAt);
}

void HomeMap::forgetOld(Instant now)
{
    std::erase_if(m_versions, [this, now](const Version &version) {
        return version.replacedAt && now >= longestNeed(*version.replacedAt);
    });
    for (auto &[customer, regions] : m_regions) {
        std::erase_if(regions, [this, now](const CustomerRegion &region) {
            return region.replacedAt && now >= longestNeed(*region.replacedAt);
        });
    }
    std::erase_if(m_regions, [](const auto &entry) { return entry.second.empty(); });
}

const HomeTable &HomeMap::tableOf(const Version &version, const RegionId &region)
{
    const auto found = version.byRegion.find(region);
    return found == version.byRegion.end() ? version.all : found->second;
}

} // namespace Apricothook
