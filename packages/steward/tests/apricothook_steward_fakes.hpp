#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/steward/apricothook_steward.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook::Testing {

using namespace std::chrono_literals;

/** A member view that the test writes. */
class FakeMemberView : public MemberView
{
public:
    FakeMemberView(const std::string &self, const std::vector<std::string> &names)
        : m_self {MemberId(self), Incarnation(1)}
    {
        for (const std::string &name : names)
            m_live.push_back(member(name, MemberState::Alive));
    }
    static MemberUpdate member(const std::string &name, MemberState state)
    {
        MemberUpdate update;
        update.instance = {MemberId(name), Incarnation(1)};
        update.state = state;
        update.region = RegionId("r1");
        return update;
    }
    void set(const std::string &name, MemberState state)
    {
        std::erase_if(m_live, [&](const auto &m) { return m.instance.member.text() == name; });
        std::erase_if(m_dead, [&](const auto &m) { return m.instance.member.text() == name; });
        (state == MemberState::Dead ? m_dead : m_live).push_back(member(name, state));
        std::sort(m_live.begin(), m_live.end());
        ++m_version;
    }
    /** As after a suspicion that this daemon heard of and refuted. */
    void refuteSelf()
    {
        for (MemberUpdate &update : m_live)
            update.refutation += update.instance == m_self ? 1 : 0;
        ++m_version;
    }
    void setShare(double share) { m_share = share; }

    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return m_live; }
    std::optional<MemberUpdate> find(const MemberId &id) const override
    {
        for (const auto *list : {&m_live, &m_dead}) {
            for (const MemberUpdate &update : *list) {
                if (update.instance.member == id)
                    return update;
            }
        }
        return std::nullopt;
    }
    std::uint64_t version() const override { return m_version; }
    double visibleShare() const override { return m_share; }

private:
    MemberInstance m_self;
    std::vector<MemberUpdate> m_live;
    std::vector<MemberUpdate> m_dead;
    std::uint64_t m_version = 1;
    double m_share = 1;
};

class FakeEvents : public EventSink
{
public:
    void record(const DecisionEvent &event) override { events.push_back(event); }
    std::vector<DecisionEvent> events;
};

/** One region, one service "s" with `targets` equal engines, classes for `tiers` tiers. */
inline FleetText fleet(std::size_t targets, std::uint32_t slots, std::uint8_t tiers = 5)
{
    FleetText text;
    text.dataCentres = {{DataCentreId("dc1"), RegionId("r1")}};
    text.services = {{ServiceId("s"), ServiceKind::Engine, {}}};
    for (std::size_t index = 0; index < targets; ++index) {
        Target target;
        target.id = TargetId("t" + std::to_string(index));
        target.service = ServiceId("s");
        target.vm = VmId("vm" + std::to_string(index));
        target.dataCentre = DataCentreId("dc1");
        target.slots = slots;
        target.kvTokens = 200000;
        target.prefillRate = 4000;
        target.decodeRate = 50;
        text.targets.push_back(target);
    }
    for (std::uint8_t rank = 1; rank <= tiers; ++rank)
        text.classes.push_back({ClassId("c" + std::to_string(rank)), Tier(rank), 30s});
    return text;
}

/** One steward that keeps every shard, and what it answers. */
class Bench
{
public:
    explicit Bench(const FleetText &text, const StewardPolicy &policy = {})
        : members("a", {"a"}), steward(members, events, std::make_unique<FixedExpiry>(120s), policy)
    {
        apply(text);
    }
    void apply(const FleetText &text)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->text = text;
        steward.applyConfiguration(configuration, now, out);
    }
    static AttemptId attempt(std::uint64_t exchange, const std::string &entry = "a")
    {
        return {{MemberId(entry), Incarnation(1)}, ExchangeId(exchange), 0};
    }
    ReserveRequest request(std::uint8_t tier, const std::string &customer = "c",
                           std::uint32_t prompt = 400, std::uint32_t output = 50)
    {
        ReserveRequest request;
        request.attempt = attempt(++exchange);
        request.shard = {ServiceId("s"), RegionId("r1"), 0};
        request.tier = Tier(tier);
        request.customer = CustomerId(customer);
        request.promptTokens = prompt;
        request.outputTokens = output;
        request.patienceLeft = 30s;
        request.isLastResort = true;
        return request;
    }
    /** The verdict that the steward gives at once; nothing where it stays silent. */
    std::optional<ReserveReply> ask(const ReserveRequest &request)
    {
        const std::size_t before = out.size();
        steward.handle(request.attempt.entry.member, request, now, out);
        return lastReply(request.attempt, before);
    }
    std::optional<ReserveReply> lastReply(const AttemptId &attempt, std::size_t from = 0) const
    {
        std::optional<ReserveReply> last;
        for (std::size_t index = from; index < out.size(); ++index) {
            const auto *reply = std::get_if<ReserveReply>(&out[index].message);
            if (reply && reply->attempt == attempt)
                last = *reply;
        }
        return last;
    }
    ReserveVerdict verdict(const AttemptId &attempt) const { return lastReply(attempt)->verdict; }
    Release release(const AttemptId &attempt, RunEnd end = RunEnd::Answered,
                    Duration firstByte = 100ms, Duration streaming = 1s)
    {
        Release release;
        release.attempt = attempt;
        release.shard = {ServiceId("s"), RegionId("r1"), 0};
        release.end = end;
        release.promptTokens = 400;
        release.outputTokens = 50;
        release.firstByte = firstByte;
        release.streaming = streaming;
        steward.handle(attempt.entry.member, release, now, out);
        return release;
    }
    void cancel(const AttemptId &attempt)
    {
        const ShardId shard {ServiceId("s"), RegionId("r1"), 0};
        steward.handle(attempt.entry.member, ReserveCancel {attempt, shard}, now, out);
    }
    void pass(Duration time)
    {
        for (const Instant end = now + time; now < end;) {
            now += 50ms;
            steward.tick(now, out);
        }
    }
    std::uint32_t running() const
    {
        std::uint32_t total = 0;
        for (const ShardSnapshot &shard : steward.snapshot(now)) {
            for (const TargetSnapshot &target : shard.targets)
                total += target.running;
        }
        return total;
    }
    TargetSnapshot target(const std::string &id) const
    {
        for (const ShardSnapshot &shard : steward.snapshot(now)) {
            for (const TargetSnapshot &target : shard.targets) {
                if (target.target.text() == id)
                    return target;
            }
        }
        return {};
    }

    Instant now {1h};
    std::uint64_t exchange = 0;
    FakeMemberView members;
    FakeEvents events;
    Outbox out;
    Steward steward;
};

} // namespace Apricothook::Testing
