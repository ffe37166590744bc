#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>

#include <algorithm>

namespace Apricothook::Testing {

/** Member view that a test sets up; its members have no addresses. */
class FakeMemberView : public MemberView
{
public:
    explicit FakeMemberView(MemberInstance self, const std::vector<std::string> &others = {})
        : m_self(std::move(self))
    {
        add(m_self);
        for (const std::string &other : others)
            add({MemberId(other), Incarnation(1)});
    }
    void add(const MemberInstance &life)
    {
        remove(life.member);
        MemberUpdate update;
        update.instance = life;
        m_live.push_back(update);
    }
    void remove(const MemberId &member)
    {
        std::erase_if(m_live, [&member](const MemberUpdate &update) {
            return update.instance.member == member;
        });
    }
    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return m_live; }
    std::optional<MemberUpdate> find(const MemberId &member) const override
    {
        for (const MemberUpdate &update : m_live) {
            if (update.instance.member == member)
                return update;
        }
        return std::nullopt;
    }
    std::uint64_t version() const override { return 1; }
    double visibleShare() const override { return share; }

    double share = 1;

private:
    MemberInstance m_self;
    std::vector<MemberUpdate> m_live;
};

class FakeEvents : public EventSink
{
public:
    void record(const DecisionEvent &event) override { numbers.push_back(event.number); }
    std::vector<int> numbers;
};

class FakeRandom : public RandomSource
{
public:
    std::uint64_t next() override
    {
        return m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
    }

private:
    std::uint64_t m_state = 1;
};

inline Instant at(double seconds)
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace Apricothook::Testing
