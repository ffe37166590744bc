#include <apricothook/bench/apricothook_bench_fleet.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

std::string numbered(const std::string &word, std::size_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, 4 - std::min<std::size_t>(4, digits.size()), '0');
    return word + digits;
}

std::string dataCentreName(std::size_t number)
{
    return numbered("data-centre-", number);
}

std::string regionOf(const BenchScale &scale, std::size_t dataCentre)
{
    return numbered("region-", dataCentre % scale.regions);
}

Target targetOf(const BenchScale &scale, std::size_t number)
{
    Target target;
    target.id = TargetId(numbered("runner-", number));
    target.service = ServiceId(numbered("service-", number % scale.models));
    target.address
        = {"10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8000};
    target.vm = VmId(numbered("vm-", number));
    target.dataCentre = DataCentreId(dataCentreName((number / scale.models) % scale.dataCentres));
    target.hardwareGeneration = "gen-" + std::to_string(number % 4);
    target.slots = 16;
    target.kvTokens = 400000;
    target.prefillRate = 12000;
    target.decodeRate = 90;
    target.models = {ModelId(numbered("model-", number % scale.models))};
    return target;
}

Customer customerOf(const BenchScale &scale, std::size_t number)
{
    Customer customer;
    customer.id = CustomerId(benchCustomer(number));
    customer.keyHashes = {benchToken(number)};
    customer.requestsPerSecond = 100000;
    customer.burst = 100000;
    customer.homeRegion = RegionId(regionOf(scale, number));
    return customer;
}

} // namespace

BenchScale BenchScale::of(std::size_t daemons)
{
    if (daemons <= 9)
        return {};
    BenchScale scale;
    scale.daemons = daemons;
    scale.targets = daemons * 600 / 320;
    scale.customers = daemons * 2500 / 320;
    scale.models = std::max<std::size_t>(2, std::min<std::size_t>(17, daemons * 17 / 320));
    scale.regions = 2;
    scale.dataCentres = 7;
    return scale;
}

std::string benchMember(std::size_t number)
{
    return numbered("entry-", number);
}

std::string benchCustomer(std::size_t number)
{
    return numbered("customer-", number);
}

std::string benchToken(std::size_t customer)
{
    const std::string digits = std::to_string(customer);
    return std::string(64 - digits.size(), '0') + digits;
}

MemberUpdate benchUpdate(const BenchScale &scale, std::size_t number)
{
    MemberUpdate update;
    update.instance = {MemberId(benchMember(number)), Incarnation(1'700'000'000'000 + number)};
    update.peerAddress
        = {"10.2." + std::to_string(number / 250) + "." + std::to_string(number % 250), 7000};
    update.callerAddress = {update.peerAddress.address, 8080};
    update.dataCentre = DataCentreId(dataCentreName(number % scale.dataCentres));
    update.region = RegionId(regionOf(scale, number % scale.dataCentres));
    update.load = static_cast<std::uint32_t>(number % 50);
    return update;
}

std::shared_ptr<Configuration> benchConfiguration(const BenchScale &scale, std::uint64_t generation)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->generation = Generation(generation);
    configuration->textHash = generation * 31;
    FleetText &text = configuration->text;
    for (std::size_t i = 0; i < scale.dataCentres; ++i)
        text.dataCentres.push_back({DataCentreId(dataCentreName(i)), RegionId(regionOf(scale, i))});
    for (std::size_t i = 0; i < scale.daemons; ++i)
        text.roster.push_back(
            {MemberId(benchMember(i)), DataCentreId(dataCentreName(i % scale.dataCentres))});
    for (std::size_t i = 0; i < scale.models; ++i) {
        text.models.push_back({ModelId(numbered("model-", i)), {}, "1", 16ULL << 30});
        text.services.push_back({ServiceId(numbered("service-", i)), ServiceKind::Engine, {}});
    }
    for (std::size_t i = 0; i < scale.targets; ++i)
        text.targets.push_back(targetOf(scale, i));
    for (std::size_t i = 0; i < scale.customers; ++i)
        text.customers.push_back(customerOf(scale, i));
    for (std::uint8_t rank = 1; rank <= 5; ++rank)
        text.classes.push_back({ClassId("class-" + std::to_string(rank)), Tier(rank),
                                std::chrono::seconds(500), Repeatability::NotRepeatable, 256});
    return configuration;
}

} // namespace Apricothook
