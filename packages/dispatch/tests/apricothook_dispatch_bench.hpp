#pragma once

#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <string>
#include <vector>

namespace Apricothook {

inline const ServiceId Service("s");

/** Keeps what the dispatcher decides. */
class Placements : public DispatchListener
{
public:
    void onPlaced(ExchangeId exchange, const TargetEntry &target) override
    {
        placed.push_back(exchange.value());
        targets.push_back(target.id.text());
    }
    void onRefused(ExchangeId exchange, const RefusalDetails &facts) override
    {
        refused.push_back(exchange.value());
        last = facts;
    }

    std::vector<std::uint64_t> placed;
    std::vector<std::string> targets;
    std::vector<std::uint64_t> refused;
    RefusalDetails last;
};

/** A daemon's decisions about one service, without input and output. */
struct DispatchBench
{
    explicit DispatchBench(const ColdTargetLimiter &cold = ColdTargetLimiter())
        : targets(DataCentreId("here"), {}, cold)
    {
    }

    ManualClock clock;
    TargetTable targets;
    Placements placements;
    Dispatcher dispatcher {targets, placements};

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
    void target(const std::string &id, std::uint32_t slots)
    {
        targets.put(entryOf(id, slots), clock.now());
    }
    QueuedRequest work(std::uint64_t id, std::uint8_t tier = 1) const
    {
        QueuedRequest work;
        work.exchange = ExchangeId(id);
        work.service = Service;
        work.rank = {Tier(1), Tier(tier)};
        work.size = {1000, 10, true};
        work.arrived = clock.now();
        work.objective = std::chrono::milliseconds(400);
        work.deadline = clock.now() + std::chrono::seconds(15);
        return work;
    }
    void offer(std::uint64_t id, std::uint8_t tier = 1)
    {
        dispatcher.submit(work(id, tier), clock.now());
    }
    void end(const std::string &target)
    {
        targets.requestEnded({TargetId(target)}, {1000, 10, true}, TargetOutcome::Served,
                             std::chrono::milliseconds(300), false, clock.now());
        dispatcher.review(clock.now());
    }
    /** Two samples, so that the target's speed is known. */
    void teach(const std::string &id, std::chrono::milliseconds gap)
    {
        targets.find(TargetId(id))->speed.addGap(gap);
        targets.find(TargetId(id))->speed.addFirstEvent(1000, gap * 4);
    }
};

} // namespace Apricothook
