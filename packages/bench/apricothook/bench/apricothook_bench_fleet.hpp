#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** Sizes of a fleet; from the number of daemons in the ratio of the letter's 320 daemons. */
struct BenchScale
{
    std::size_t daemons = 9;
    std::size_t targets = 15;
    std::size_t customers = 70;
    std::size_t models = 2;
    std::size_t regions = 1;
    std::size_t dataCentres = 3;
    static BenchScale of(std::size_t daemons);
};

/** 9 daemons as today, two between, the letter's size and twice that. */
inline const std::vector<std::size_t> FleetSizes {9, 36, 100, 320, 640};

std::string benchMember(std::size_t number);
std::string benchCustomer(std::size_t number);
/** SHA-256 in form only. */
std::string benchToken(std::size_t customer);
/** The member as others know it. */
MemberUpdate benchUpdate(const BenchScale &scale, std::size_t number);
/** One engine service for each model, 5 tiers; every customer with a limit that isn't reached. */
std::shared_ptr<Configuration> benchConfiguration(const BenchScale &scale,
                                                  std::uint64_t generation = 1);

} // namespace Apricothook
