#include <apricothook/dispatch/apricothook_send_permits.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <queue>
#include <set>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Request = 7;
constexpr seconds Lifetime {10};

LimitPeer peerOf(std::size_t daemon)
{
    return {100 + daemon, {"10.0.0.1", static_cast<std::uint16_t>(daemon + 1)}};
}

/** Daemons whose messages arrive at once, unless the receiver is unreachable. */
class PermitFleet
{
public:
    explicit PermitFleet(std::size_t daemons)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            m_nodes.push_back(std::make_unique<Node>(*this, daemon));
        clock.advance(SuspectAnnouncer::LongestUninformed);
        review();
    }

    /** Returns the decision, after the time that silent daemons cost. */
    PermitDecision acquire(std::size_t daemon, std::uint64_t request = Request)
    {
        Node &node = *m_nodes[daemon];
        node.decided.reset();
        if (const std::optional<PermitDecision> decision
            = node.permits.acquire(ExchangeId(1), request, Lifetime, clock.now()))
            return *decision;
        for (deliver(); !node.decided; deliver()) {
            clock.advance(SendPermits::AnswerTime);
            node.permits.reviewQueries(clock.now());
        }
        return *node.decided;
    }
    /** The daemon that issues the permits of the request. */
    std::size_t issuerOf(std::uint64_t request)
    {
        for (std::size_t daemon = 0; daemon < m_nodes.size(); ++daemon) {
            const PermitDecision decision = acquire(daemon, request);
            report(daemon, decision.permit, PermitUse::Unused);
            if (decision.source == PermitSource::Self)
                return daemon;
        }
        return m_nodes.size();
    }
    void report(std::size_t daemon, std::uint64_t permit, PermitUse use)
    {
        m_nodes[daemon]->permits.report(permit, use, 1, clock.now());
        deliver();
    }
    void deliver()
    {
        while (!m_inTransit.empty()) {
            const auto [receiver, message] = m_inTransit.front();
            m_inTransit.pop();
            m_nodes[receiver]->take(message);
        }
    }
    void review()
    {
        for (const auto &node : m_nodes) {
            std::vector<LiveDaemon> live;
            for (const auto &other : m_nodes) {
                if (other != node && !unreachable.contains(node->index)
                    && !unreachable.contains(other->index))
                    live.push_back({peerOf(other->index), 1});
            }
            node->permits.review(live, 2 * live.size() >= m_nodes.size(), clock.now());
        }
    }
    SendPermits &permits(std::size_t daemon) { return m_nodes[daemon]->permits; }
    SuspectAnnouncer &suspects(std::size_t daemon) { return m_nodes[daemon]->announcer; }
    std::size_t expired() const { return m_expired; }

    ManualClock clock;
    std::set<std::size_t> unreachable;

private:
    struct Node : LimitMessenger, SuspectListener, PermitListener
    {
        Node(PermitFleet &fleet, std::size_t index)
            : fleet(fleet)
            , index(index)
            , random(index + 1)
            , announcer(peerOf(index), ranking, *this, random, *this)
            , permits(peerOf(index), *this, random, *this, announcer)
        {
        }
        void send(const Endpoint &to, const LimitMessage &message) override
        {
            const std::size_t receiver = to.port - 1U;
            if (!fleet.unreachable.contains(receiver) && !fleet.unreachable.contains(index))
                fleet.m_inTransit.emplace(receiver, message);
        }
        void take(const LimitMessage &message)
        {
            const Instant now = fleet.clock.now();
            if (const auto *asked = std::get_if<PermitRequest>(&message))
                permits.take(*asked, now);
            else if (const auto *reply = std::get_if<PermitReply>(&message))
                permits.take(*reply, now);
            else if (const auto *report = std::get_if<PermitReport>(&message))
                permits.take(*report, now);
            else if (const auto *notice = std::get_if<CrashNotice>(&message))
                announcer.take(*notice, now);
        }
        void broadcast(const LimitMessage &) override { }
        void onSuspectChanged(std::uint64_t, const TrialDecision &, bool) override { }
        void onPermitDecided(ExchangeId, const PermitDecision &decision) override
        {
            decided = decision;
        }
        void onPermitExpired(const ExpiredPermit &) override { ++fleet.m_expired; }

        PermitFleet &fleet;
        const std::size_t index;
        DeterministicRandom random;
        GrantorRanking ranking;
        SuspectAnnouncer announcer;
        SendPermits permits;
        std::optional<PermitDecision> decided;
    };

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::queue<std::pair<std::size_t, LimitMessage>> m_inTransit;
    std::size_t m_expired = 0;
};

} // namespace

TEST_CASE("whichever daemon sends a request, one issues its permits")
{
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    REQUIRE(issuer < 9);
    const PermitDecision first = fleet.acquire((issuer + 1) % 9);
    CHECK(first.outcome == PermitOutcome::Granted);
    for (std::size_t daemon = 0; daemon < 9; ++daemon)
        CHECK(fleet.acquire(daemon).outcome == PermitOutcome::Busy);
    fleet.report((issuer + 1) % 9, first.permit, PermitUse::Sound);
    for (std::size_t daemon = 0; daemon < 9; ++daemon)
        CHECK(fleet.acquire(daemon).outcome == PermitOutcome::Granted);
}

TEST_CASE("a request that was answered needs no permit until its service loses a target again")
{
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    const std::size_t sender = (issuer + 1) % 9;
    const Instant loss = fleet.clock.now() - seconds(1);
    CHECK(fleet.permits(sender).isNeeded(Request, loss));
    fleet.report(sender, fleet.acquire(sender).permit, PermitUse::Sound);
    CHECK_FALSE(fleet.permits(sender).isNeeded(Request, loss));
    CHECK(fleet.permits(sender).isNeeded(Request, fleet.clock.now() + seconds(1)));
    fleet.permits(sender).recordCrash(Request);
    CHECK(fleet.permits(sender).isNeeded(Request, loss));
}

TEST_CASE("the next daemon issues a request's permits if the first doesn't answer")
{
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    const std::size_t sender = (issuer + 1) % 9;
    fleet.unreachable.insert(issuer);
    const PermitDecision decision = fleet.acquire(sender);
    CHECK(decision.outcome == PermitOutcome::Granted);
    CHECK(decision.waited <= 2 * SendPermits::AnswerTime);
    // The silent daemon isn't asked again at once.
    CHECK(fleet.acquire(sender, Request).waited == Duration::zero());
}

TEST_CASE("an issuer that knows a request to be suspect grants no permit, and tells why")
{
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    const std::size_t sender = (issuer + 1) % 9;
    for (const std::uint64_t instance : {1U, 2U})
        fleet.suspects(issuer).recordCrash(Request, instance, fleet.clock.now(), fleet.clock.now());
    CHECK(fleet.acquire(sender).outcome == PermitOutcome::Suspect);
    CHECK(fleet.suspects(sender).traits().isSuspect(Request));
}

TEST_CASE("a daemon that hears nobody sends a request that has crashed a target no more")
{
    // Guards against one more crash for each daemon that is cut off from the others.
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    const std::size_t sender = (issuer + 1) % 9;
    fleet.unreachable.insert(sender);
    SUBCASE("it still counts the others as live") { }
    SUBCASE("it has noticed")
    {
        fleet.review();
    }
    const PermitDecision first = fleet.acquire(sender);
    CHECK(first.outcome == PermitOutcome::Granted);
    CHECK(first.source == PermitSource::Alone);
    fleet.report(sender, first.permit, PermitUse::Lost);
    const Instant now = fleet.clock.now();
    fleet.suspects(sender).recordCrash(Request, 1, now, now);
    fleet.permits(sender).conclude(Request, 1, true, now, now);
    CHECK(fleet.acquire(sender).outcome == PermitOutcome::Busy);
    CHECK(fleet.acquire(sender, Request + 1).outcome == PermitOutcome::Granted);
}

TEST_CASE("the send of a daemon that reports nothing counts as a crash")
{
    // Guards against crashes that no daemon remembers, as the sender died with its target.
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    fleet.acquire((issuer + 1) % 9);
    fleet.clock.advance(Lifetime + SendPermits::ReportTime);
    fleet.review();
    CHECK(fleet.expired() == 1);
    CHECK(fleet.suspects(issuer).traits().crashes(Request) == 1);
}

TEST_CASE("a request that ends while it waits for a permit leaves none open")
{
    PermitFleet fleet(9);
    const std::size_t issuer = fleet.issuerOf(Request);
    const std::size_t sender = (issuer + 1) % 9;
    fleet.unreachable.insert(issuer);
    CHECK_FALSE(fleet.permits(sender)
                    .acquire(ExchangeId(2), Request, Lifetime, fleet.clock.now())
                    .has_value());
    fleet.unreachable.clear();
    fleet.permits(sender).cancel(ExchangeId(2));
    fleet.deliver();
    CHECK_FALSE(fleet.permits(sender).nextReview().has_value());
    CHECK(fleet.acquire(sender).outcome == PermitOutcome::Granted);
}
