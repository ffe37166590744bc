#include <apricothook/bench/apricothook_allocation_count.hpp>
#include <apricothook/bench/apricothook_bench_case.hpp>
#include <apricothook/bench/apricothook_bench_fakes.hpp>
#include <apricothook/bench/apricothook_wire_bytes.hpp>
#include <apricothook/steward/apricothook_shard_chooser.hpp>
#include <apricothook/steward/apricothook_steward.hpp>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A steward in a whole fleet, as the keeper of at least the first shard. */
class StewardSubject : public BenchSubject
{
public:
    StewardSubject(const BenchScale &scale, const std::shared_ptr<Configuration> &configuration)
        : m_members(scale), m_map(configuration->text)
    {
        m_shard = m_map.shards().begin()->first;
        m_members.setSelf(m_map.stewardOf(m_shard, m_members));
        m_steward = std::make_unique<Steward>(m_members, m_events);
        m_steward->applyConfiguration(configuration, m_now, m_out);
        pass(seconds(3));
    }

protected:
    void pass(Duration time)
    {
        for (const Instant end = m_now + time; m_now < end;) {
            m_now += milliseconds(50);
            m_steward->tick(m_now, m_out);
            m_out.clear();
        }
    }
    ReserveRequest request(std::uint8_t tier)
    {
        ReserveRequest request;
        request.attempt = {m_members.live()[m_next % m_members.live().size()].instance,
                           ExchangeId(++m_next), 1};
        request.shard = m_shard;
        request.tier = Tier(tier);
        request.customer = CustomerId(benchCustomer(m_next % 97));
        request.promptTokens = 400;
        request.outputTokens = 50;
        request.patienceLeft = seconds(30);
        for (std::uint64_t block = 0; block < MaximumPrefixes; ++block)
            request.prefixes.push_back(PrefixHash(1 + (m_next % 50) * 100 + block));
        request.isLastResort = true;
        return request;
    }
    void give(const ReserveRequest &request)
    {
        m_steward->handle(request.attempt.entry.member, request, m_now, m_out);
    }
    void end(const AttemptId &attempt, const TargetId &target)
    {
        Release release;
        release.attempt = attempt;
        release.shard = m_shard;
        release.target = target;
        release.promptTokens = 400;
        release.outputTokens = 50;
        release.firstByte = milliseconds(100);
        release.streaming = seconds(1);
        m_steward->handle(attempt.entry.member, release, m_now, m_out);
    }
    /** The reservations that the last messages told of. */
    std::vector<ReserveReply> reserved() const
    {
        std::vector<ReserveReply> replies;
        for (const OutgoingMessage &outgoing : m_out) {
            const auto *reply = std::get_if<ReserveReply>(&outgoing.message);
            if (reply && reply->verdict == ReserveVerdict::Reserved)
                replies.push_back(*reply);
        }
        return replies;
    }

    BenchMembers m_members;
    SilentEvents m_events;
    ShardMap m_map;
    ShardId m_shard;
    std::unique_ptr<Steward> m_steward;
    Instant m_now = BenchStart;
    Outbox m_out;
    std::uint64_t m_next = 0;
};

/** Half of the slots are taken; each operation reserves one, which ends before the next. */
class PlacementSubject : public StewardSubject
{
public:
    PlacementSubject(const BenchScale &scale, const std::shared_ptr<Configuration> &configuration)
        : StewardSubject(scale, configuration)
    {
        const std::size_t slots = 16 * m_map.find(m_shard)->targets.size();
        const std::int64_t before = allocationsNow().liveBytes;
        const std::size_t taken = slots / 2;
        for (std::size_t i = 0; i < taken; ++i) {
            give(request(1 + i % 5));
            for (const ReserveReply &reply : reserved())
                m_held.push_back(reply);
            m_out.clear();
        }
        m_bytes
            = static_cast<double>(allocationsNow().liveBytes - before) / static_cast<double>(taken);
    }
    void prepare() override
    {
        for (const ReserveReply &reply : reserved())
            end(reply.attempt, reply.target);
        m_out.clear();
        m_now += milliseconds(5);
        // Entries renew what they hold, or it would lapse.
        if (++m_turns % 400 == 0)
            renew();
        m_request = request(1 + m_next % 5);
    }
    void operate() override { give(m_request); }
    std::vector<BenchFigure> figures() const override
    {
        return {{"stateBytesPerReservation", m_bytes},
                {"wireBytes", datagramBytes(m_out)},
                {"reserved", static_cast<double>(reserved().size())}};
    }

private:
    void renew()
    {
        for (const ReserveReply &reply : m_held) {
            InFlightReport report {reply.attempt.entry, m_shard, {}};
            InFlight running;
            running.attempt = reply.attempt;
            running.target = reply.target;
            running.promptTokens = 400;
            running.outputTokens = 50;
            report.running.push_back(running);
            m_steward->handle(reply.attempt.entry.member, report, m_now, m_out);
        }
        m_out.clear();
    }
    std::vector<ReserveReply> m_held;
    ReserveRequest m_request;
    std::size_t m_turns = 0;
    double m_bytes = 0;
};

/** All slots are taken and `depth` requests wait; one ends, the best waiting one gets its room. */
class QueueSubject : public StewardSubject
{
public:
    explicit QueueSubject(std::size_t depth)
        : StewardSubject(BenchScale::of(320), benchConfiguration(BenchScale::of(320)))
    {
        while (reserved().size() == m_running.size()) {
            const std::size_t before = m_running.size();
            give(request(1 + m_next % 5));
            m_running = reserved();
            if (m_running.size() == before)
                break;
        }
        const std::int64_t before = allocationsNow().liveBytes;
        for (std::size_t i = 1; i < depth; ++i)
            give(request(1 + m_next % 5));
        m_bytes
            = static_cast<double>(allocationsNow().liveBytes - before) / static_cast<double>(depth);
        m_out.clear();
        m_out.reserve(64);
    }
    void prepare() override
    {
        for (const ReserveReply &reply : reserved())
            m_running.push_back(reply);
        m_out.clear();
        m_request = request(1 + m_next % 5);
    }
    void operate() override
    {
        give(m_request);
        end(m_running[m_first].attempt, m_running[m_first].target);
        ++m_first;
    }
    std::vector<BenchFigure> figures() const override
    {
        return {{"stateBytesPerWaiting", m_bytes},
                {"reserved", static_cast<double>(reserved().size())}};
    }

private:
    std::vector<ReserveReply> m_running;
    std::size_t m_first = 0;
    ReserveRequest m_request;
    double m_bytes = 0;
};

/** A full shard under pressure: one operation is one tick of the steward, 20 a second. */
class FloorSubject : public StewardSubject
{
public:
    explicit FloorSubject(const BenchScale &scale) : StewardSubject(scale, oneService(scale))
    {
        for (std::size_t i = 0; i < 700; ++i)
            give(request(1 + m_next % 5));
        m_out.clear();
    }
    void prepare() override
    {
        m_out.clear();
        m_now += milliseconds(50);
    }
    void operate() override
    {
        m_steward->tick(m_now, m_out);
        ++m_ticks;
        for (const OutgoingMessage &outgoing : m_out)
            m_raises += std::holds_alternative<FloorRaise>(outgoing.message);
    }
    std::vector<BenchFigure> figures() const override
    {
        return {{"floorMessages", static_cast<double>(m_raises) / static_cast<double>(m_ticks)}};
    }

private:
    /** The worst for floors: all targets are of one service, and all their stewards share it. */
    static std::shared_ptr<Configuration> oneService(BenchScale scale)
    {
        scale.models = 1;
        return benchConfiguration(scale);
    }
    std::size_t m_raises = 0;
    std::size_t m_ticks = 0;
};

/** An entry's choice of the shards to ask, and of their stewards. */
class ChoiceSubject : public BenchSubject
{
public:
    explicit ChoiceSubject(const BenchScale &scale)
        : m_members(scale)
        , m_map(benchConfiguration(scale)->text)
        , m_chooser(RegionId("region-0000"), m_random)
    {
        for (const auto &[id, shard] : m_map.shards())
            m_chooser.learn({id, 4, 0, milliseconds(10), Tier(9)}, BenchStart);
    }
    void prepare() override
    {
        m_question
            = {ServiceId("service-0001"), ModelId("model-0001"), PrefixHash(m_random.next())};
    }
    void operate() override
    {
        for (const ShardId &shard : m_chooser.choose(m_map, m_question, BenchStart))
            m_map.stewardOf(shard, m_members);
    }

private:
    BenchMembers m_members;
    ShardMap m_map;
    BenchRandom m_random;
    ShardChooser m_chooser;
    ShardQuestion m_question;
};

} // namespace

void addStewardCases(BenchCases &cases)
{
    cases.push_back({"placement", "daemons", FleetSizes, 2000, [](std::size_t size) {
                         const BenchScale scale = BenchScale::of(size);
                         return std::make_unique<PlacementSubject>(scale,
                                                                   benchConfiguration(scale));
                     }});
    cases.push_back(
        {"placement-shard", "targets of the shard", {8, 16, 32, 64}, 2000, [](std::size_t size) {
             BenchScale scale = BenchScale::of(320);
             scale.models = 1;
             scale.regions = 1;
             auto configuration = benchConfiguration(scale);
             configuration->text.policy.shardTargets = size;
             return std::make_unique<PlacementSubject>(scale, configuration);
         }});
    cases.push_back({"queue", "waiting requests", {16, 64, 200, 400}, 400, [](std::size_t size) {
                         return std::make_unique<QueueSubject>(size);
                     }});
    cases.push_back({"floor-tick", "daemons", FleetSizes, 400, [](std::size_t size) {
                         return std::make_unique<FloorSubject>(BenchScale::of(size));
                     }});
    cases.push_back({"choose-shard", "daemons", FleetSizes, 2000, [](std::size_t size) {
                         return std::make_unique<ChoiceSubject>(BenchScale::of(size));
                     }});
}

} // namespace Apricothook
