#pragma once

#include <apricothook/membership/apricothook_membership.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Apricothook {

class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next() override { return m_engine(); }
    /** Uniform in [0, 1). */
    double uniform() { return static_cast<double>(next() >> 11) / static_cast<double>(1ULL << 53); }

private:
    std::mt19937_64 m_engine;
};

class CountingSink : public EventSink
{
public:
    void record(const DecisionEvent &event) override { ++m_counts[event.number]; }
    int count(MembershipEvent event) const
    {
        const auto place = m_counts.find(static_cast<int>(event));
        return place == m_counts.end() ? 0 : place->second;
    }

private:
    std::map<int, int> m_counts;
};

/** What the network between the members of a fake fleet does. */
struct FakeNetwork
{
    double loss = 0;
    double duplicates = 0;
    /** Longest additional delay, drawn for each datagram; more than a step reorders. */
    Duration jitter {};
    /** Whether a datagram gets from one member to another; by number in the fleet. */
    std::function<bool(std::size_t, std::size_t)> connects;
};

/** Real Membership objects whose mail is delivered in memory, on a clock of its own. */
class FakeFleet
{
public:
    struct Member
    {
        MemberUpdate update;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<CountingSink> events;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<PeerSealer> sealer;
        bool isRunning = true;
        std::uint64_t bytesSent = 0;
        std::uint64_t datagramsSent = 0;
        std::size_t largestDatagram = 0;
    };

    /** `regions`: for each region its number of data centres; members go round them in turn. */
    FakeFleet(std::size_t size, std::vector<std::size_t> regions, std::uint64_t seed = 1);

    /** Starts all, joining through the first three, and runs until all know all. */
    void form();
    void start(std::size_t member, std::uint64_t incarnation = 1);
    /** Starts a process beside one that may still run; it is added as a member of its own. */
    std::size_t addLife(std::size_t member, std::uint64_t incarnation, const Endpoint &address);
    void run(Duration time);
    /** Runs until it holds; the time that took, or `limit`. */
    Duration runUntil(const std::function<bool()> &holds, Duration limit);
    /** Stops without a word, as in the death of a process. */
    void kill(std::size_t member) { m_members[member].isRunning = false; }
    /** A paused process keeps its state; its mail of the last moments waits in the socket. */
    void pause(std::size_t member) { m_isPaused[member] = true; }
    void resume(std::size_t member) { m_isPaused[member] = false; }
    void leave(std::size_t member);
    void finish(std::size_t member);

    std::size_t size() const { return m_members.size(); }
    Member &member(std::size_t number) { return m_members[number]; }
    Membership &operator[](std::size_t number) { return *m_members[number].membership; }
    /** How many running members have this one in live(), itself apart. */
    std::size_t seenBy(std::size_t number) const;
    int events(MembershipEvent event) const;
    Instant now() const { return m_now; }

    FakeNetwork network;

private:
    struct Letter
    {
        std::size_t from = 0;
        MemberInstance sender;
        Addressed mail;
        Instant due {};
    };

    static constexpr Duration Step = std::chrono::milliseconds(20);
    static constexpr int StepsPerTick = 5;

    void step();
    void post(std::size_t from, Mail &mail);
    void deliver(const Letter &letter);
    bool isLost(std::size_t from, std::size_t to);

    std::vector<Member> m_members;
    std::map<Endpoint, std::size_t> m_byAddress;
    std::map<std::size_t, bool> m_isPaused;
    std::multimap<Instant, Letter> m_letters;
    SeededRandom m_chance;
    Instant m_now {std::chrono::seconds(1000)};
    std::uint64_t m_steps = 0;
};

} // namespace Apricothook
