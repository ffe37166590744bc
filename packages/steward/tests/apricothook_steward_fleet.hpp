#pragma once

#include "apricothook_steward_fakes.hpp"

#include <map>
#include <random>
#include <set>

namespace Apricothook::Testing {

/** An answer of a steward, as a trace keeps it. */
struct Told
{
    Instant at;
    std::string by;
    AttemptId attempt;
    Tier tier;
    ReserveVerdict verdict;
};

/** Three members; two of them each keep one shard of service "s". Messages wait until delivered. */
class StewardFleet
{
public:
    explicit StewardFleet(std::uint32_t slots, const StewardPolicy &policy = {})
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->text = fleet(2, slots);
        configuration->text.policy.shardTargets = 1;
        for (const std::string name : {"a", "b", "c"}) {
            views.emplace(name, std::make_unique<FakeMemberView>(name, Names));
            stewards.emplace(name,
                             std::make_unique<Steward>(*views.at(name), events,
                                                       std::make_unique<FixedExpiry>(60s), policy));
        }
        for (auto &[name, steward] : stewards) {
            Outbox out;
            steward->applyConfiguration(configuration, now, out);
            for (const ShardId &shard : steward->shards())
                keepers.emplace_back(name, shard);
            collect(name, out);
        }
        pass(1100ms);
    }
    /** The two shards must have unlike stewards for these tests to mean anything. */
    bool isSpread() const { return keepers.size() == 2 && keepers[0].first != keepers[1].first; }

    AttemptId request(std::size_t keeper, std::uint8_t tier, Duration patience)
    {
        ReserveRequest request;
        request.attempt = Bench::attempt(++exchange, "entry");
        request.shard = keepers[keeper].second;
        request.tier = Tier(tier);
        request.customer = CustomerId("k" + std::to_string(exchange % 3));
        request.promptTokens = 400;
        request.outputTokens = 50;
        request.patienceLeft = patience;
        request.isLastResort = true;
        requests.emplace(request.attempt, request);
        give(keepers[keeper].first, request);
        return request.attempt;
    }
    template <typename Message>
    void give(const std::string &name, const Message &message)
    {
        Outbox out;
        stewards.at(name)->handle(MemberId("entry"), message, now, out);
        collect(name, out);
    }
    void release(const AttemptId &attempt)
    {
        const ReserveRequest &request = requests.at(attempt);
        Release release;
        release.attempt = attempt;
        release.shard = request.shard;
        release.promptTokens = request.promptTokens;
        release.outputTokens = request.outputTokens;
        release.firstByte = 100ms;
        release.streaming = 1s;
        give(keepers[request.shard == keepers[0].second ? 0 : 1].first, release);
        reserved.erase(attempt);
    }
    /** Delivers the waiting message of this place to its steward; `isKept`: it comes again. */
    void deliver(std::size_t place, bool isKept = false)
    {
        const auto [from, outgoing] = network[place];
        if (!isKept)
            network.erase(network.begin() + static_cast<long>(place));
        Steward &steward = *stewards.at(outgoing.to.text());
        Outbox out;
        if (const auto *raise = std::get_if<FloorRaise>(&outgoing.message))
            steward.handle(MemberId(from), *raise, now, out);
        if (const auto *reply = std::get_if<FloorAcknowledged>(&outgoing.message))
            steward.handle(MemberId(from), *reply, now, out);
        collect(outgoing.to.text(), out);
    }
    void deliverAll()
    {
        while (!network.empty())
            deliver(0);
    }
    void tick(Duration time)
    {
        now += time;
        for (auto &[name, steward] : stewards) {
            Outbox out;
            if (!stopped.contains(name))
                steward->tick(now, out);
            collect(name, out);
        }
    }
    void pass(Duration time)
    {
        for (const Instant end = now + time; now < end;) {
            tick(50ms);
            deliverAll();
        }
    }
    /** All others come to see this member as dead. */
    void setDead(const std::string &dead)
    {
        for (auto &[name, view] : views) {
            if (name == dead)
                continue;
            view->set(dead, MemberState::Dead);
            Outbox out;
            stewards.at(name)->membersChanged(now, out);
            collect(name, out);
        }
    }
    Tier floorOf(std::size_t keeper) const
    {
        return stewards.at(keepers[keeper].first)->snapshot(now).front().floor;
    }
    std::optional<ReserveVerdict> verdict(const AttemptId &attempt) const
    {
        std::optional<ReserveVerdict> last;
        for (const Told &told : trace) {
            if (told.attempt == attempt)
                last = told.verdict;
        }
        return last;
    }
    std::size_t count(ReserveVerdict verdict, std::uint8_t tier) const
    {
        return static_cast<std::size_t>(
            std::count_if(trace.begin(), trace.end(), [&](const Told &told) {
                return told.verdict == verdict && told.tier == Tier(tier);
            }));
    }

    inline static const std::vector<std::string> Names {"a", "b", "c"};
    Instant now {1h};
    std::uint64_t exchange = 0;
    FakeEvents events;
    std::map<std::string, std::unique_ptr<FakeMemberView>> views;
    std::map<std::string, std::unique_ptr<Steward>> stewards;
    std::vector<std::pair<std::string, ShardId>> keepers;
    std::set<std::string> stopped;
    std::vector<std::pair<std::string, OutgoingMessage>> network;
    std::map<AttemptId, ReserveRequest> requests;
    std::set<AttemptId> reserved;
    std::vector<Told> trace;

private:
    void collect(const std::string &by, const Outbox &out)
    {
        for (const OutgoingMessage &outgoing : out) {
            const auto *reply = std::get_if<ReserveReply>(&outgoing.message);
            if (!reply) {
                if (!std::holds_alternative<ShardSummary>(outgoing.message) && !stopped.contains(by)
                    && !stopped.contains(outgoing.to.text()))
                    network.emplace_back(by, outgoing);
                continue;
            }
            if (reply->verdict == ReserveVerdict::Reserved)
                reserved.insert(reply->attempt);
            const Tier tier = requests.at(reply->attempt).tier;
            trace.push_back({now, by, reply->attempt, tier, reply->verdict});
        }
    }
};

} // namespace Apricothook::Testing
