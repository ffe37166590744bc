#include "apricothook_test_fleet.hpp"

#include <apricothook/configuration/apricothook_watcher_choice.hpp>

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <set>

using namespace Apricothook;

// Real keepers whose messages are handed over in memory and counted. One hop is a notice and the
// fetch that follows it. One probe per daemon and second stands for the digests that ride on
// probes.

namespace {

struct Node
{
    Node(const std::string &name, std::uint64_t seed) : members(name), random(seed) { }
    TestMembers members;
    TestEvents events;
    DeterministicRandom random;
    ConfigurationOutput out;
    std::optional<ConfigurationKeeper> keeper;
    int adoptedHop = -1;
    std::size_t asked = 0;
    std::size_t notices = 0;
};

std::string nameOf(std::size_t index)
{
    return "m" + std::to_string(1000 + index);
}

class Fleet
{
public:
    Fleet(std::size_t size, std::size_t dataCentres, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            auto node = std::make_unique<Node>(nameOf(i), seed * 1000 + i);
            for (std::size_t j = 0; j < size; ++j) {
                node->members.add(nameOf(j), "dc" + std::to_string(j % dataCentres));
                node->members.members.back().peerAddress.port = static_cast<std::uint16_t>(j + 1);
            }
            node->keeper.emplace(
                ConfigurationSurroundings {node->members, node->events, node->random},
                DataCentreId("dc" + std::to_string(i % dataCentres)), 0, at(0),
                ConfigurationLimits {.joinPeers = 0});
            m_nodes.push_back(std::move(node));
        }
        for (auto &node : m_nodes) {
            node->keeper->arrived(textOf(1), at(0), node->out);
            node->keeper->platformReachability({true}, at(0), node->out);
            node->keeper->tick(at(0), node->out);
            node->out = {};
        }
    }

    std::size_t watchers() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [](const auto &node) { return node->keeper->isWatching(); }));
    }

    /** Members of the first data centre are dead, though nobody has noticed yet. */
    void killDataCentre(std::size_t dataCentres)
    {
        for (std::size_t i = 0; i < m_nodes.size(); i += dataCentres)
            m_dead.insert(i);
    }

    /** Publishes generation 2 to so many watchers and runs hops until none is left, then probes
     *  until all have it; gives the rounds of probes. */
    int publish(std::size_t reached)
    {
        for (std::size_t i = 0; i < m_nodes.size() && reached > 0; ++i) {
            if (m_dead.contains(i) || !m_nodes[i]->keeper->isWatching())
                continue;
            adopt(i, 0);
            --reached;
        }
        runHops();
        int probes = 0;
        while (left() > 0 && probes < 30) {
            ++probes;
            probeOnce(probes);
        }
        return probes;
    }

    std::size_t left() const { return m_nodes.size() - m_dead.size() - m_adopted; }
    int lastHop() const { return m_lastHop; }
    double shareByNotice() const { return m_shareByNotice; }
    std::size_t mostNotices() const
    {
        std::size_t most = 0;
        for (const auto &node : m_nodes)
            most = std::max(most, node->notices);
        return most;
    }
    std::size_t mostAsked() const
    {
        std::size_t most = 0;
        for (const auto &node : m_nodes)
            most = std::max(most, node->asked);
        return most;
    }
    int medianHop() const
    {
        std::vector<int> hops;
        for (const auto &node : m_nodes) {
            if (node->adoptedHop >= 0)
                hops.push_back(node->adoptedHop);
        }
        std::sort(hops.begin(), hops.end());
        return hops[hops.size() / 2];
    }

private:
    struct Notice
    {
        std::size_t from;
        std::size_t to;
        StateDigest digest;
        int hop;
    };

    void runHops()
    {
        while (!m_notices.empty()) {
            const Notice notice = m_notices.front();
            m_notices.pop_front();
            deliver(notice);
        }
        if (m_shareByNotice == 0)
            m_shareByNotice = static_cast<double>(m_adopted)
                / static_cast<double>(m_nodes.size() - m_dead.size());
    }

    void deliver(const Notice &notice)
    {
        if (m_dead.contains(notice.to) || m_random.next() % 50 == 0) // 2% loss
            return;
        Node &node = *m_nodes[notice.to];
        const MemberUpdate from = *node.members.find(MemberId(nameOf(notice.from)));
        node.keeper->digestSeen(from, notice.digest, at(1), node.out);
        for (const FetchText &fetch : actionsOf<FetchText>(node.out)) {
            ++m_nodes[fetch.peer.port - 1U]->asked;
            adopt(notice.to, notice.hop);
        }
    }

    void adopt(std::size_t index, int hop)
    {
        Node &node = *m_nodes[index];
        node.out = {};
        node.keeper->arrived(textOf(2), at(1), node.out);
        node.adoptedHop = hop;
        m_lastHop = std::max(m_lastHop, hop);
        ++m_adopted;
        for (const OutgoingMessage &outgoing : node.out.outbox) {
            ++node.notices;
            const std::size_t to = std::stoul(outgoing.to.text().substr(1)) - 1000;
            m_notices.push_back({index, to, node.keeper->digest(), hop + 1});
        }
        node.out = {};
    }

    void probeOnce(int round)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const std::size_t peer = m_random.next() % m_nodes.size();
            if (m_dead.contains(i) || peer == i || m_dead.contains(peer))
                continue;
            m_notices.push_back({i, peer, m_nodes[i]->keeper->digest(), m_lastHop + round});
            m_notices.push_back({peer, i, m_nodes[peer]->keeper->digest(), m_lastHop + round});
        }
        runHops();
    }

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::set<std::size_t> m_dead;
    std::deque<Notice> m_notices;
    DeterministicRandom m_random;
    std::size_t m_adopted = 0;
    int m_lastHop = 0;
    double m_shareByNotice = 0;
};

/** The worst of ten fleets that differ in their random numbers. */
struct Spread
{
    int probes = 0;
    int hops = 0;
    int median = 0;
    double share = 1;
    std::size_t asked = 0;
    std::size_t notices = 0;
    std::size_t left = 0;
};

Spread worstOf(std::size_t size, std::size_t reached)
{
    const std::size_t dataCentres = size < 36 ? 3 : 7;
    Spread worst;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(size, dataCentres, seed);
        fleet.killDataCentre(dataCentres);
        worst.probes = std::max(worst.probes, fleet.publish(reached));
        worst.left = std::max(worst.left, fleet.left());
        worst.hops = std::max(worst.hops, fleet.lastHop());
        worst.median = std::max(worst.median, fleet.medianHop());
        worst.share = std::min(worst.share, fleet.shareByNotice());
        worst.asked = std::max(worst.asked, fleet.mostAsked());
        worst.notices = std::max(worst.notices, fleet.mostNotices());
    }
    return worst;
}

} // namespace

TEST_SUITE_BEGIN("[configuration][spread]");

TEST_CASE("A generation is in force everywhere within a few probes though a data centre is dead")
{
    // A batch of changes lands while a data centre is dark and no member has noticed. Notices to it
    // and 2% of all others are lost; whoever was missed learns from the next probes. At worst one
    // watcher of the whole fleet still reaches the platform.
    constexpr std::size_t All = 1000;
    for (const std::size_t reached : {All, std::size_t {1}}) {
        for (const std::size_t size : {9U, 36U, 100U, 320U}) {
            const Spread most = worstOf(size, reached);
            MESSAGE("daemons " << size << ", watchers reached "
                               << std::string(reached == All ? "all" : "1") << ": hops at most "
                               << most.hops << ", median " << most.median
                               << "; told by notices at least " << most.share
                               << "; then probes at most " << most.probes << "; notices a daemon "
                               << most.notices << "; fetches from one holder " << most.asked);
            CHECK(most.left == 0);
            CHECK(most.probes <= 5);
            CHECK(most.hops <= 14);
            CHECK(most.notices <= 4);
            CHECK(most.asked <= 10);
        }
    }
}

TEST_CASE("The platform is watched by two daemons in each data centre however large the fleet")
{
    for (const std::size_t size : {3U, 9U, 36U, 100U, 320U}) {
        CAPTURE(size);
        const std::size_t dataCentres = size < 36 ? 3 : 7;
        const Fleet fleet(size, dataCentres, 1);
        CHECK(fleet.watchers() == std::min(size, 2 * dataCentres));
    }
}

TEST_CASE("When a watcher dies only its successor changes")
{
    TestMembers members("m0");
    for (int i = 0; i < 40; ++i)
        members.add("m" + std::to_string(i));
    const auto before = watchersOf(members, DataCentreId("dc0"), 2);
    members.remove(before[0].text());
    const auto after = watchersOf(members, DataCentreId("dc0"), 2);
    CHECK(after[0] == before[1]);
    CHECK(after[1] != before[0]);
}

TEST_SUITE_END();
