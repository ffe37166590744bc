#pragma once

#include <apricothook/homes/apricothook_home_map.hpp>
#include <apricothook/testsupport/apricothook_fake_member_view.hpp>

#include <algorithm>
#include <set>

namespace Apricothook::Testing {

inline TicketReader readerOf(std::vector<TicketKey> keys = {{1, "secret"}})
{
    return TicketReader(std::move(keys));
}

/** One data centre and region; customer "c" at home in it. */
inline Configuration configurationOf(std::uint64_t generation,
                                     const std::vector<std::string> &roster)
{
    Configuration configuration;
    configuration.generation = Generation(generation);
    configuration.text.dataCentres = {{DataCentreId("d"), RegionId("r")}};
    for (const std::string &member : roster)
        configuration.text.roster.push_back({MemberId(member), DataCentreId("d")});
    Customer customer;
    customer.id = CustomerId("c");
    customer.homeRegion = RegionId("r");
    configuration.text.customers = {customer};
    return configuration;
}

inline std::vector<MemberId> members(const std::vector<std::string> &names)
{
    std::vector<MemberId> ids;
    ids.reserve(names.size());
    for (const std::string &name : names)
        ids.emplace_back(name);
    return ids;
}

} // namespace Apricothook::Testing
