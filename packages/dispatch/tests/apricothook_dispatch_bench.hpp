#pragma once

#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <string>
#include <vector>

namespace Apricothook {

inline const ServiceId Service("s");

/** Records the dispatcher's decisions. */
class RecordedDecisions : public DispatchListener
{
public:
    void onPlaced(ExchangeId exchange, const TargetEntry &target, const SlotFill &fill) override
    {
        lastFill = fill;
        placed.push_back(exchange.value());
        targets.push_back(target.id.text());
    }
    void onRefused(ExchangeId exchange, const RefusalDetails &details) override
    {
        refused.push_back(exchange.value());
        lastRefusal = details;
    }

    std::vector<std::uint64_t> placed;
    std::vector<std::string> targets;
    std::vector<std::uint64_t> refused;
    RefusalDetails lastRefusal;
    SlotFill lastFill;
};

/** Dispatching for one service at one daemon, without I/O. */
struct DispatchBench
{
    /** `self`: memberHash() of the daemon. */
    explicit DispatchBench(const ColdTargetLimiter &cold = ColdTargetLimiter(),
                           std::uint64_t self = 0, const PolicySwitches &policies = {})
        : targets(DataCentreId("here"), policies, cold, self)
        , dispatcher(targets, placements, policies)
    {
    }

    ManualClock clock;
    TargetTable targets;
    RecordedDecisions placements;
    Dispatcher dispatcher;

    TargetEntry entryOf(const std::string &id, std::uint32_t slots,
                        const std::string &dataCentre = "here") const
    {
        TargetEntry entry;
        entry.id = TargetId(id);
        entry.service = Service;
        entry.address = {"127.0.0.1", 1};
        entry.dataCentre = DataCentreId(dataCentre);
        entry.slots = slots;
        return entry;
    }
    void addTarget(const std::string &id, std::uint32_t slots)
    {
        targets.put(entryOf(id, slots), clock.now());
    }
    QueuedRequest request(std::uint64_t id, std::uint8_t tier = 1) const
    {
        QueuedRequest request;
        request.exchange = ExchangeId(id);
        request.service = Service;
        request.rank = {Tier(1), Tier(tier)};
        request.size = {1000, 10, true};
        request.arrived = clock.now();
        request.objective = std::chrono::milliseconds(400);
        request.deadline = clock.now() + std::chrono::seconds(15);
        return request;
    }
    void offer(std::uint64_t id, std::uint8_t tier = 1)
    {
        dispatcher.submit(request(id, tier), clock.now());
    }
    void finish(const std::string &target)
    {
        targets.requestEnded({TargetId(target)}, {1000, 10, true}, TargetOutcome::Served,
                             std::chrono::milliseconds(300), false, clock.now());
        dispatcher.review(clock.now());
    }
    /** Records two samples, so that the target's speed is known. */
    void recordSpeed(const std::string &id, std::chrono::milliseconds gap)
    {
        targets.find(TargetId(id))->speed.addGap(gap);
        targets.find(TargetId(id))->speed.addFirstEvent(1000, gap * 4);
    }
};

} // namespace Apricothook
