#include <apricothook/bench/apricothook_bench_case.hpp>
#include <apricothook/bench/apricothook_bench_fakes.hpp>
#include <apricothook/steward/apricothook_belief_expiry.hpp>
#include <apricothook/steward/internal/apricothook_prefix_belief.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Confidence that falls as the chance that content stays in a cache of this mean time. */
class DecayingExpiry : public BeliefExpiry
{
public:
    explicit DecayingExpiry(Duration mean) : m_mean(mean) { }
    double confidence(Duration age) const override
    {
        return std::exp(-static_cast<double>(age.count()) / static_cast<double>(m_mean.count()));
    }

private:
    Duration m_mean;
};

/**
 * A life that is moved by steps against the slope of its cost, as the controller of the paper in
 * docs/RELATED-PAPER.md moves a cache's TTL.
 */
class SteppedExpiry : public BeliefExpiry
{
public:
    double confidence(Duration age) const override { return age < m_life ? 1.0 : 0.0; }
    /** Over-belief near the end of the life says that it is too long; a lost hit, too short. */
    void learn(bool isWrong, bool isLost)
    {
        constexpr Duration Step = milliseconds(500);
        if (isWrong)
            m_life -= Step;
        if (isLost)
            m_life += Step;
        m_life = std::clamp<Duration>(m_life, seconds(5), seconds(600));
    }

private:
    Duration m_life = seconds(120);
};

/** Whether the engine tells of evictions, late and with gaps, or never. */
enum class Evictions { Untold, Told };

/**
 * One engine whose cache shares its memory with running work, so that its size rises and falls
 * unseen, and the steward's belief of it. Prompts come at exponential intervals; their popularity
 * falls with the rank (Zipf, 0.9).
 */
class BeliefSubject : public BenchSubject
{
public:
    BeliefSubject(std::unique_ptr<BeliefExpiry> expiry, Evictions evictions)
        : m_expiry(std::move(expiry)), m_evictions(evictions)
    {
        double sum = 0;
        for (std::size_t rank = 1; rank <= Prompts; ++rank) {
            sum += std::pow(static_cast<double>(rank), -0.9);
            m_shares.push_back(sum);
        }
    }
    void operate() override
    {
        m_now += milliseconds(static_cast<long>(-std::log(uniform()) * 125));
        resize();
        const PrefixHash prompt = draw();
        const bool isCached = m_engine.cachedTokens({prompt}, m_always, m_now) > 0;
        const double trust
            = m_belief.cachedTokens({prompt}, *m_expiry, m_now) / static_cast<double>(BlockTokens);
        ++m_requests;
        const bool isWrong = trust >= 0.5 && !isCached;
        const bool isLost = trust < 0.5 && isCached;
        m_wrong += isWrong;
        m_lost += isLost;
        if (auto *stepped = dynamic_cast<SteppedExpiry *>(m_expiry.get()))
            stepped->learn(isWrong, isLost);
        m_engine.used({prompt}, m_now, m_now);
        m_belief.used({prompt}, m_now, m_now);
    }
    std::vector<BenchFigure> figures() const override
    {
        const auto requests = static_cast<double>(m_requests) / 1000;
        return {{"wrongPerThousand", static_cast<double>(m_wrong) / requests},
                {"lostPerThousand", static_cast<double>(m_lost) / requests}};
    }

private:
    static constexpr std::size_t Prompts = 2000;
    static constexpr std::uint64_t Nominal = 1000 * std::uint64_t {BlockTokens};

    double uniform() { return (static_cast<double>(m_random.next() >> 11) + 1) / 0x1p53; }
    PrefixHash draw()
    {
        const double point = uniform() * m_shares.back();
        const auto place = std::lower_bound(m_shares.begin(), m_shares.end(), point);
        return PrefixHash(1 + static_cast<std::uint64_t>(place - m_shares.begin()));
    }
    /** Running work leaves the cache 20 to 80 of 100 parts, in waves of ten minutes. */
    void resize()
    {
        const double time = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        const double share = 0.5 + 0.3 * std::sin(time * 2 * 3.14159265 / 600);
        m_engine.setCapacity(static_cast<std::uint64_t>(share * static_cast<double>(Nominal)));
        // An eviction is heard of for some prompt at random, as its event may be lost.
        if (m_evictions == Evictions::Untold)
            return;
        for (int probe = 0; probe < 8; ++probe) {
            const PrefixHash some(1 + m_random.next() % Prompts);
            if (m_engine.cachedTokens({some}, m_always, m_now) == 0)
                m_belief.evicted(some);
        }
    }

    BenchRandom m_random;
    FixedExpiry m_always {std::chrono::hours(24)};
    std::unique_ptr<BeliefExpiry> m_expiry;
    Evictions m_evictions;
    PrefixBelief m_engine {Nominal};
    PrefixBelief m_belief {Nominal};
    std::vector<double> m_shares;
    Instant m_now = BenchStart;
    std::size_t m_requests = 0;
    std::size_t m_wrong = 0;
    std::size_t m_lost = 0;
};

constexpr std::size_t Arrivals = 20000;

template <typename Expiry>
void addExpiry(BenchCases &cases, const std::string &name)
{
    for (const Evictions evictions : {Evictions::Untold, Evictions::Told}) {
        const std::string ending = evictions == Evictions::Told ? "-told" : "-untold";
        cases.push_back(
            {name + ending, "seconds", {30, 60, 120, 300}, Arrivals, [evictions](std::size_t life) {
                 return std::make_unique<BeliefSubject>(std::make_unique<Expiry>(seconds(life)),
                                                        evictions);
             }});
    }
}

} // namespace

void addBeliefCases(BenchCases &cases)
{
    addExpiry<FixedExpiry>(cases, "belief-fixed");
    addExpiry<DecayingExpiry>(cases, "belief-decay");
    for (const Evictions evictions : {Evictions::Untold, Evictions::Told}) {
        const std::string ending = evictions == Evictions::Told ? "-told" : "-untold";
        cases.push_back({"belief-stepped" + ending, "", {1}, Arrivals, [evictions](std::size_t) {
                             return std::make_unique<BeliefSubject>(
                                 std::make_unique<SteppedExpiry>(), evictions);
                         }});
    }
}

} // namespace Apricothook
