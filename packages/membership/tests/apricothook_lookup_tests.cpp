#include "apricothook_fake_fleet.hpp"

#include <apricothook/membership/apricothook_lookup.hpp>

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Apricothook;
using std::chrono::seconds;

TEST_SUITE_BEGIN("lookup");

namespace {

class FakeView : public MemberView
{
public:
    void add(int number, const std::string &dataCentre, const std::string &region,
             MemberState state = MemberState::Alive, std::uint32_t load = 0)
    {
        MemberUpdate member;
        member.instance.member = MemberId("entry-" + std::to_string(number));
        member.state = state;
        member.callerAddress = {"10.0.0." + std::to_string(number), 8080};
        member.dataCentre = DataCentreId(dataCentre);
        member.region = RegionId(region);
        member.load = load;
        m_live.push_back(member);
        m_self = m_live.front().instance;
    }
    void setSelf(int number) { m_self.member = MemberId("entry-" + std::to_string(number)); }
    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return m_live; }
    std::optional<MemberUpdate> find(const MemberId &member) const override
    {
        for (const MemberUpdate &update : m_live)
            if (update.instance.member == member)
                return update;
        return std::nullopt;
    }
    std::uint64_t version() const override { return 0; }
    double visibleShare() const override { return 1; }

private:
    MemberInstance m_self;
    std::vector<MemberUpdate> m_live;
};

std::map<std::string, int> countAnswers(const FakeView &view, int lookups)
{
    SeededRandom random(7);
    Lookup lookup(view, random);
    std::map<std::string, int> counts;
    for (int i = 0; i < lookups; ++i)
        for (const Endpoint &entry : lookup.answer(seconds(30)).entries)
            ++counts[entry.address];
    return counts;
}

} // namespace

TEST_CASE("Answers are near, with one entry of another data centre")
{
    FakeView view;
    for (int i = 0; i < 5; ++i)
        view.add(i, "a", "north");
    for (int i = 5; i < 8; ++i)
        view.add(i, "b", "north");
    for (int i = 8; i < 12; ++i)
        view.add(i, "c", "south");
    SeededRandom random(7);
    Lookup lookup(view, random);
    const LookupAnswer answer = lookup.answer(seconds(30));
    REQUIRE(answer.entries.size() == 4);
    CHECK(answer.keep == seconds(30));
    const auto counts = countAnswers(view, 500);
    CHECK(counts.size() == 8);
    for (const auto &[address, count] : counts)
        CHECK(count > 100);
}

TEST_CASE("Who leaves, is suspected or far away is left out while others are there")
{
    FakeView view;
    view.add(0, "a", "north", MemberState::Leaving);
    view.add(1, "a", "north", MemberState::Suspect);
    view.add(2, "b", "north");
    view.add(3, "c", "south");
    CHECK(countAnswers(view, 50) == std::map<std::string, int> {{"10.0.0.2", 50}});
    FakeView lonely;
    lonely.add(0, "a", "north", MemberState::Leaving);
    lonely.add(3, "c", "south");
    CHECK(countAnswers(lonely, 50) == std::map<std::string, int> {{"10.0.0.3", 50}});
}

TEST_CASE("A loaded entry is named less often, and an idle one isn't flooded")
{
    FakeView view;
    for (int i = 0; i < 12; ++i)
        view.add(i, "a", "north", MemberState::Alive, i == 0 ? 0 : (i == 1 ? 400 : 100));
    // The answering daemon stands first in each answer; the draw is among the others.
    view.setSelf(11);
    const auto counts = countAnswers(view, 4000);
    const double usual = counts.at("10.0.0.5");
    CHECK(counts.at("10.0.0.1") < 0.7 * usual);
    CHECK(counts.at("10.0.0.0") > 1.3 * usual);
    CHECK(counts.at("10.0.0.0") < 2.2 * usual);
}

TEST_CASE("A leaving daemon is in no answer by the time that its wait counts from")
{
    // A daemon leaves; callers go on using answers that name it. Its wait holds only if nobody
    // gives such an answer once LeavingSpread has passed, even where datagrams are lost.
    FakeFleet fleet(100, {4, 3});
    fleet.form();
    fleet.network.loss = 0.02;
    fleet.leave(9);
    fleet.run(LeavingSpread);
    const Endpoint left = fleet.member(9).update.callerAddress;
    SeededRandom random(3);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        Lookup lookup(fleet[i], random);
        for (int tries = 0; tries < 20; ++tries)
            for (const Endpoint &entry : lookup.answer(seconds(30)).entries)
                CHECK(entry != left);
    }
    CHECK(drainWaitFor(seconds(30)) == seconds(30) + LeavingSpread);
}

namespace {

struct KeepCost
{
    int lookups = 0;
    int misdirected = 0;
};

/** 1,000 callers of 9 entries, a call a second each, an entry dead for a minute every 10 minutes.
 */
template <typename KeepAt>
KeepCost costOf(KeepAt keepAt)
{
    constexpr int Callers = 1000;
    constexpr int Entries = 9;
    constexpr int Known = 8; // Seconds until a death is known.
    SeededRandom random(11);
    std::vector<int> entry(Callers, 0);
    std::vector<int> until(Callers, 0);
    KeepCost cost;
    for (int second = 0; second < 3600; ++second) {
        const int phase = second % 600;
        const int dead = phase < 60 ? (second / 600) % Entries : -1;
        for (int caller = 0; caller < Callers; ++caller) {
            const bool isMisled = entry[caller] == dead;
            if (isMisled)
                ++cost.misdirected;
            // A caller whose call failed looks up again at another entry.
            if (second < until[caller] && !isMisled)
                continue;
            ++cost.lookups;
            do
                entry[caller] = static_cast<int>(random.next() % Entries);
            while (entry[caller] == dead && phase >= Known);
            until[caller] = second + keepAt(phase) + static_cast<int>(random.next() % 5);
        }
    }
    return cost;
}

} // namespace

TEST_CASE("A keep time that follows losses gains little over a fixed one")
{
    const KeepCost tenSeconds = costOf([](int) { return 10; });
    const KeepCost halfMinute = costOf([](int) { return 30; });
    const KeepCost minute = costOf([](int) { return 60; });
    const KeepCost adaptive = costOf([](int phase) { return phase > 8 && phase < 120 ? 10 : 30; });
    for (const KeepCost &cost : {tenSeconds, halfMinute, minute, adaptive})
        MESSAGE(cost.lookups, " lookups, ", cost.misdirected, " misdirected calls of 3,600,000");
    CHECK(halfMinute.lookups < tenSeconds.lookups / 2);
    CHECK(adaptive.misdirected > 0.9 * halfMinute.misdirected);
    CHECK(adaptive.lookups > halfMinute.lookups);
}

TEST_SUITE_END();

// The ticket of an answer makes the answering daemon the home of the caller's keys. A caller who is
// sent to another entry needs both of them alive for each request; when the home dies its requests
// wait their whole patience and end as unknown.
TEST_CASE("The answering daemon stands first unless it has clearly more work than its neighbours")
{
    FakeView view;
    std::uint32_t ownLoad = 10;
    SUBCASE("usual load")
    {
        SUBCASE("alone") { }
        SUBCASE("with others")
        {
            for (int i = 1; i < 6; ++i)
                view.add(i, "a", "north", MemberState::Alive, 10);
        }
        view.add(0, "a", "north", MemberState::Alive, ownLoad);
        view.setSelf(0);
        SeededRandom random(7);
        Lookup lookup(view, random);
        for (int i = 0; i < 100; ++i) {
            const std::vector<Endpoint> entries = lookup.answer(seconds(30)).entries;
            REQUIRE_FALSE(entries.empty());
            CHECK(entries.front().address == "10.0.0.0");
            CHECK(std::set<Endpoint>(entries.begin(), entries.end()).size() == entries.size());
        }
    }
    SUBCASE("three times the others' load")
    {
        ownLoad = 60;
        for (int i = 1; i < 6; ++i)
            view.add(i, "a", "north", MemberState::Alive, 10);
        view.add(0, "a", "north", MemberState::Alive, ownLoad);
        view.setSelf(0);
        SeededRandom random(7);
        Lookup lookup(view, random);
        int first = 0;
        for (int i = 0; i < 100; ++i)
            first += lookup.answer(seconds(30)).entries.front().address == "10.0.0.0" ? 1 : 0;
        CHECK(first < 50);
    }
}
