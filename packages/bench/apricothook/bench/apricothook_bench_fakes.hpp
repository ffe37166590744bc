#pragma once

#include <apricothook/bench/apricothook_bench_fleet.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <algorithm>

namespace Apricothook {

/** Lets events go by. */
class SilentEvents : public EventSink
{
public:
    void record(const DecisionEvent &) override { }
};

/** SplitMix64: repeatable from its seed. */
class BenchRandom : public RandomSource
{
public:
    explicit BenchRandom(std::uint64_t seed = 1) : m_state(seed) { }
    std::uint64_t next() override
    {
        std::uint64_t z = (m_state += 0x9E3779B97F4A7C15ULL);
        z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t m_state;
};

/** All members of a scale, alive; one of them is the daemon measured. */
class BenchMembers : public MemberView
{
public:
    explicit BenchMembers(const BenchScale &scale)
    {
        for (std::size_t i = 0; i < scale.daemons; ++i)
            m_live.push_back(benchUpdate(scale, i));
        m_self = m_live.front().instance;
    }
    void setSelf(const MemberId &member) { m_self = find(member)->instance; }

    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return m_live; }
    std::optional<MemberUpdate> find(const MemberId &member) const override
    {
        const auto place = std::lower_bound(
            m_live.begin(), m_live.end(), member,
            [](const MemberUpdate &a, const MemberId &b) { return a.instance.member < b; });
        if (place == m_live.end() || place->instance.member != member)
            return std::nullopt;
        return *place;
    }
    std::uint64_t version() const override { return 1; }
    double visibleShare() const override { return 1; }

private:
    MemberInstance m_self;
    std::vector<MemberUpdate> m_live;
};

constexpr Instant BenchStart {std::chrono::hours(1)};

} // namespace Apricothook
