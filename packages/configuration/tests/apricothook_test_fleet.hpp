#pragma once

#include <apricothook/configuration/apricothook_configuration_keeper.hpp>
#include <apricothook/model/apricothook_hashing.hpp>
#include <apricothook/testsupport/apricothook_deterministic_random.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Apricothook {

class TestEvents : public EventSink
{
public:
    void record(const DecisionEvent &event) override { events.push_back(event); }
    std::size_t count(ConfigurationEvent number) const
    {
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(), [number](const DecisionEvent &event) {
                return event.number == static_cast<int>(number);
            }));
    }
    std::vector<DecisionEvent> events;
};

class TestMembers : public MemberView
{
public:
    explicit TestMembers(std::string self) : m_self {MemberId(std::move(self)), Incarnation(1)} { }
    const MemberInstance &self() const override { return m_self; }
    const std::vector<MemberUpdate> &live() const override { return members; }
    std::optional<MemberUpdate> find(const MemberId &member) const override
    {
        for (const MemberUpdate &update : members) {
            if (update.instance.member == member)
                return update;
        }
        return std::nullopt;
    }
    std::uint64_t version() const override { return number; }
    double visibleShare() const override { return share; }
    void add(const std::string &name, const std::string &dataCentre = "dc0")
    {
        MemberUpdate update;
        update.instance = {MemberId(name), Incarnation(1)};
        update.peerAddress = {"10.0.0.1", static_cast<std::uint16_t>(members.size() + 1)};
        update.dataCentre = DataCentreId(dataCentre);
        members.push_back(update);
        ++number;
    }
    void remove(const std::string &name)
    {
        std::erase_if(members, [&name](const MemberUpdate &update) {
            return update.instance.member.text() == name;
        });
        ++number;
    }

    std::vector<MemberUpdate> members;
    std::uint64_t number = 1;
    double share = 1;

private:
    MemberInstance m_self;
};

inline ConfigurationReceived textOf(std::uint64_t generation, std::uint64_t hash = 0)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->generation = Generation(generation);
    configuration->textHash = hash == 0 ? generation * 10 : hash;
    return {configuration, std::make_shared<const std::string>("text")};
}

inline StateDigest digestOf(std::uint64_t generation)
{
    return {Generation(generation), generation * 10, 0};
}

template <typename T>
std::vector<T> actionsOf(const ConfigurationOutput &out)
{
    std::vector<T> found;
    for (const ConfigurationAction &action : out.actions) {
        if (const T *typed = std::get_if<T>(&action))
            found.push_back(*typed);
    }
    return found;
}

inline Instant at(double seconds)
{
    return Instant(std::chrono::seconds(1000)
                   + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

/** One keeper with its surroundings, members "a" (itself), "b", "c", "d". */
struct TestDaemon
{
    explicit TestDaemon(std::size_t seeds = 3, std::uint64_t seed = 1) : random(seed)
    {
        members.add("a");
        for (const char *name : {"b", "c", "d"}) {
            if (seeds > 0)
                members.add(name);
        }
        keeper.emplace(ConfigurationSurroundings {members, events, random}, DataCentreId("dc0"),
                       seeds, at(0));
    }
    MemberUpdate member(const std::string &name) const { return *members.find(MemberId(name)); }
    void platformGives(const ConfigurationReceived &text, double seconds)
    {
        keeper->arrived(text, at(seconds), out);
        keeper->platformReachability({true}, at(seconds), out);
    }
    void peerGives(const std::string &name, const StateDigest &digest, double seconds)
    {
        keeper->digestReplied(member(name), DigestReply {7, digest}, at(seconds), out);
    }
    std::uint64_t generation() const { return keeper->digest().generation.value(); }

    TestMembers members {"a"};
    TestEvents events;
    DeterministicRandom random;
    ConfigurationOutput out;
    std::optional<ConfigurationKeeper> keeper;
};

} // namespace Apricothook
