#include <apricothook_fault_bench_text.hpp>

namespace Apricothook {

namespace {

Target targetOf(const char *id, const char *service, ServiceKind kind)
{
    Target target;
    target.id = TargetId(id);
    target.service = ServiceId(service);
    target.address = {"127.0.0.1", 1};
    target.vm = VmId(std::string("vm-") + id);
    target.dataCentre = DataCentreId("dc");
    target.slots = 2;
    if (kind == ServiceKind::Engine) {
        target.kvTokens = 100000;
        target.prefillRate = 10000;
        target.decodeRate = 1000;
    }
    return target;
}

RequestClass classOf(const char *id, std::uint8_t tier, Duration patience)
{
    RequestClass requestClass;
    requestClass.id = ClassId(id);
    requestClass.tier = Tier(tier);
    requestClass.patience = patience;
    requestClass.expectedTokens = 10;
    return requestClass;
}

} // namespace

FleetText firstText(std::size_t daemons)
{
    FleetText text;
    text.policy.deduplicationWindow = std::chrono::seconds(120);
    text.policy.lookupKeep = std::chrono::seconds(2);
    text.dataCentres = {{DataCentreId("dc"), RegionId("r")}};
    for (std::size_t i = 0; i < daemons; ++i)
        text.roster.push_back(
            {MemberId(std::string(1, static_cast<char>('a' + i))), DataCentreId("dc")});
    text.services = {{ServiceId("booking"), ServiceKind::Plain, {}},
                     {ServiceId("chat"), ServiceKind::Engine, {}},
                     {ServiceId("bare"), ServiceKind::Plain, {}}};
    text.targets = {targetOf("p1", "booking", ServiceKind::Plain),
                    targetOf("p2", "booking", ServiceKind::Plain),
                    targetOf("e1", "chat", ServiceKind::Engine),
                    targetOf("e2", "chat", ServiceKind::Engine)};
    Customer customer;
    customer.id = CustomerId(CustomerName);
    customer.keyHashes = {"token"};
    customer.requestsPerSecond = 100000;
    customer.burst = 100000;
    customer.homeRegion = RegionId("r");
    text.customers = {customer};
    text.classes = {classOf("default", 1, std::chrono::seconds(8)),
                    classOf("low", 3, std::chrono::seconds(8))};
    return text;
}

} // namespace Apricothook
