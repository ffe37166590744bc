#include <apricothook/homes/apricothook_home_refusal.hpp>
#include <apricothook/homes/apricothook_key_home.hpp>
#include <apricothook/homes/apricothook_ticket_issuer.hpp>

#include "apricothook_homes_fakes.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

constexpr double Window = 600;

/** The home "h" in its first life, at a time when its memory is whole unless told otherwise. */
struct Fixture
{
    explicit Fixture(double startedAt = -Window, KeyHomeLimits limits = {})
        : home(map, members, events, limits, at(startedAt))
    {
        map.apply(configurationOf(1, {"h"}), at(0));
    }

    GrantRequest request(const std::string &entry, std::uint64_t exchange, std::uint32_t attempt)
    {
        GrantRequest request;
        request.attempt = {{MemberId(entry), Incarnation(1)}, ExchangeId(exchange), attempt};
        request.key = key;
        request.customer = CustomerId("c");
        request.fingerprint = Fingerprint(1);
        request.target = TargetId("t-" + entry);
        request.generation = Generation(1);
        return request;
    }
    GrantReply ask(const GrantRequest &request)
    {
        Outbox out;
        home.handle(request.attempt.entry.member, request, now, out);
        REQUIRE(out.size() == 1);
        return std::get<GrantReply>(out.front().message);
    }
    GrantVerdict ask(const std::string &entry, std::uint64_t exchange, std::uint32_t attempt = 1)
    {
        return ask(request(entry, exchange, attempt)).verdict;
    }
    GrantVerdict askNext(const std::string &entry, std::uint64_t exchange, std::uint32_t attempt)
    {
        GrantRequest next = request(entry, exchange, attempt);
        next.closesPrevious = true;
        return ask(next).verdict;
    }
    bool report(const std::string &entry, std::uint64_t exchange, std::uint32_t attempt, KeyEnd end)
    {
        Outbox out;
        home.handle(MemberId(entry),
                    OutcomeReport {request(entry, exchange, attempt).attempt, key, end}, now, out);
        return out.size() == 1;
    }
    KeyState state(const std::string &customer = "c", Fingerprint fingerprint = {})
    {
        Outbox out;
        home.handle(MemberId("e"), KeyQuery {1, key, CustomerId(customer), fingerprint}, now, out);
        return std::get<KeyQueryReply>(out.front().message).state;
    }

    FakeMemberView members {{MemberId("h"), Incarnation(1)}, {"e", "f"}};
    FakeEvents events;
    HomeMap map {MemberId("h"), readerOf()};
    RequestKey key {"k"};
    Instant now = at(0);
    KeyHome home;
};

} // namespace

TEST_SUITE("[homes][key home]")
{
    TEST_CASE("A key is granted once, and its holder gets the same reply again")
    {
        Fixture f;
        CHECK(f.state() == KeyState::NotSeen);
        CHECK(f.ask("e", 1) == GrantVerdict::Granted);
        CHECK(f.ask("e", 1) == GrantVerdict::Granted);
        const GrantReply other = f.ask(f.request("f", 1, 1));
        CHECK(other.verdict == GrantVerdict::Running);
        CHECK(other.holder.member == MemberId("e"));
        CHECK(other.target == TargetId("t-e"));
        CHECK(f.ask("e", 2) == GrantVerdict::Running);
        CHECK(f.state() == KeyState::Running);
        CHECK(f.state("d") == KeyState::NotSeen);
        CHECK(f.report("e", 1, 1, KeyEnd::Answered));
        CHECK(f.ask("f", 1) == GrantVerdict::Finished);
        CHECK(f.state() == KeyState::Answered);
    }

    TEST_CASE("A resend after its holder's death learns where the request went, and is not run")
    {
        // Entry e is granted the key, dispatches to its target and dies. The caller sends the
        // request again through f. Whether the target ran it is unknown, so it must not run again.
        Fixture f;
        f.ask("e", 1);
        SUBCASE("gone from the members")
        {
            f.members.remove(MemberId("e"));
        }
        SUBCASE("replaced by a later life")
        {
            f.members.add({MemberId("e"), Incarnation(2)});
        }
        const GrantReply reply = f.ask(f.request("f", 1, 1));
        CHECK(reply.verdict == GrantVerdict::OutcomeUnknown);
        CHECK(reply.target == TargetId("t-e"));
        CHECK(f.events.numbers
              == std::vector<int> {static_cast<int>(HomesEvent::KeyOutcomeUnknown)});
    }

    TEST_CASE("Only the exchange that holds the grant may close it for its next attempt")
    {
        Fixture f;
        f.ask("e", 1);
        CHECK(f.askNext("f", 1, 2) == GrantVerdict::Running);
        CHECK(f.askNext("e", 2, 2) == GrantVerdict::Running);
        CHECK(f.ask("e", 1, 2) == GrantVerdict::Running);
        CHECK(f.askNext("e", 1, 2) == GrantVerdict::Granted);
        CHECK(f.askNext("e", 1, 2) == GrantVerdict::Granted);
    }

    TEST_CASE("A grant request that arrives after its exchange went on is refused for good")
    {
        // The network holds back a copy of attempt 1 until attempt 2 was granted, or until its
        // entry gave attempt 1 up and told its caller "not run". A grant for the copy would be a
        // second one.
        Fixture f;
        SUBCASE("attempt 2 was granted")
        {
            f.ask("e", 1);
            f.askNext("e", 1, 2);
            CHECK(f.ask("e", 1, 1) == GrantVerdict::Running);
            CHECK(f.report("e", 1, 1, KeyEnd::NotRun));
            CHECK(f.ask("f", 1) == GrantVerdict::Running);
        }
        SUBCASE("the report that it was not run came first")
        {
            CHECK(f.report("e", 1, 1, KeyEnd::NotRun));
            CHECK(f.ask("e", 1, 1) == GrantVerdict::OutcomeUnknown);
            CHECK(f.ask("f", 1) == GrantVerdict::Granted);
            CHECK(f.ask("e", 1, 1) == GrantVerdict::Running);
        }
        SUBCASE("another exchange was granted after it, and closed too")
        {
            f.ask("e", 1);
            f.report("e", 1, 1, KeyEnd::NotRun);
            f.ask("f", 1);
            f.report("f", 1, 1, KeyEnd::NotRun);
            CHECK(f.ask("e", 1, 1) == GrantVerdict::OutcomeUnknown);
            CHECK(f.ask("f", 1, 1) == GrantVerdict::OutcomeUnknown);
            CHECK(f.ask("f", 2, 1) == GrantVerdict::Granted);
        }
    }

    TEST_CASE("A report is believed only from the exchange that it is about")
    {
        Fixture f;
        f.ask("e", 1);
        CHECK(f.report("f", 1, 1, KeyEnd::NotRun));
        CHECK(f.report("f", 2, 1, KeyEnd::Answered));
        CHECK(f.ask("e", 2) == GrantVerdict::Running);
        Outbox out;
        const AttemptId holder = f.request("e", 1, 1).attempt;
        f.home.handle(MemberId("f"), OutcomeReport {holder, f.key, KeyEnd::NotRun}, f.now, out);
        CHECK(out.empty());
        CHECK(f.ask("e", 2) == GrantVerdict::Running);
    }

    TEST_CASE("An answered key stays answered, and a lost one may still turn out answered")
    {
        Fixture f;
        f.ask("e", 1);
        f.report("e", 1, 1, KeyEnd::Unknown);
        CHECK(f.ask("f", 1) == GrantVerdict::OutcomeUnknown);
        f.report("e", 1, 1, KeyEnd::Answered);
        f.report("e", 1, 1, KeyEnd::Unknown);
        f.report("e", 1, 1, KeyEnd::NotRun);
        CHECK(f.ask("f", 1) == GrantVerdict::Finished);
    }

    TEST_CASE("A key with another body or customer is a conflict that tells nothing of the holder")
    {
        Fixture f;
        f.ask("e", 1);
        GrantRequest other = f.request("f", 1, 1);
        SUBCASE("body")
        {
            other.fingerprint = Fingerprint(2);
        }
        SUBCASE("customer")
        {
            other.customer = CustomerId("d");
            f.map.apply(
                [] {
                    Configuration both = configurationOf(2, {"h"});
                    both.text.customers.push_back(both.text.customers.front());
                    both.text.customers.back().id = CustomerId("d");
                    return both;
                }(),
                at(0));
        }
        const GrantReply reply = f.ask(other);
        CHECK(reply.verdict == GrantVerdict::Conflict);
        CHECK(reply.holder.member.isEmpty());
        CHECK(reply.target.isEmpty());
    }

    TEST_CASE("A home that restarted refuses keys that its earlier life may have granted")
    {
        // The home grants a key to e and restarts without memory. A resend through f would be
        // granted a second time. The refusal can't say "not run", as the first attempt may have
        // run.
        Fixture f(0);
        CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
        CHECK(f.state() == KeyState::LostMemory);
        SUBCASE("until a window has passed")
        {
            f.now = at(Window - 1);
            CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
            CHECK(f.home.untilMemoryWhole(f.now) == std::chrono::seconds(1));
            f.now = at(Window);
            CHECK(f.ask("f", 1) == GrantVerdict::Granted);
        }
        SUBCASE("or the shorter window of the first text, which later ones can't shorten")
        {
            f.home.setLimits({std::chrono::seconds(60), 100, 8}, f.now);
            f.home.setLimits({std::chrono::seconds(10), 100, 8}, f.now);
            CHECK(f.home.untilMemoryWhole(f.now) == std::chrono::seconds(60));
            f.now = at(60);
            CHECK(f.ask("f", 1) == GrantVerdict::Granted);
        }
        SUBCASE("also when a report of the earlier life's attempt came")
        {
            CHECK(f.report("e", 1, 1, KeyEnd::NotRun));
            CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
        }
        SUBCASE("but not those on a ticket of this life")
        {
            f.key = RequestKey(TicketIssuer(f.members.self(), {1, "secret"}).issue(f.now) + ".x");
            CHECK(f.ask("f", 1) == GrantVerdict::Granted);
        }
        SUBCASE("and tells who holds them once that entry reports")
        {
            CHECK(f.report("e", 1, 1, KeyEnd::Answered));
            CHECK(f.ask("f", 1) == GrantVerdict::Finished);
        }
    }

    TEST_CASE("A key on a ticket is never granted again, even after its record has gone")
    {
        Fixture f;
        f.key = RequestKey(TicketIssuer(f.members.self(), {1, "secret"}).issue(f.now) + ".x");
        SUBCASE("as the ticket is older than the window")
        {
            f.ask("e", 1);
            f.report("e", 1, 1, KeyEnd::Answered);
            f.now = at(Window);
            f.home.expire(f.now);
            REQUIRE(f.home.keptKeys() == 0);
            CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
        }
        SUBCASE("also when the window grew after the record went")
        {
            f.ask("e", 1);
            f.report("e", 1, 1, KeyEnd::Answered);
            f.now = at(Window);
            f.home.expire(f.now);
            f.home.setLimits({std::chrono::seconds(3600), 100, 8}, f.now);
            CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
        }
        SUBCASE("as the ticket is of an earlier life of the same member")
        {
            const MemberInstance earlier {MemberId("h"), Incarnation(0)};
            f.key = RequestKey(TicketIssuer(earlier, {1, "secret"}).issue(f.now) + ".x");
            CHECK(f.ask("f", 1) == GrantVerdict::LostMemory);
        }
    }

    TEST_CASE("A record is dropped a window after it was touched, but not while its holder runs")
    {
        Fixture f;
        f.ask("e", 1);
        f.now = at(2 * Window);
        CHECK(f.ask("f", 1) == GrantVerdict::Running);
        f.report("e", 1, 1, KeyEnd::Answered);
        f.now = at(3 * Window - 1);
        CHECK(f.ask("f", 1) == GrantVerdict::Finished);
        f.now = at(4 * Window);
        CHECK(f.ask("f", 1) == GrantVerdict::Granted);
    }

    TEST_CASE("A full home refuses new keys as not run, and leaves reports unacknowledged")
    {
        Fixture f(-Window, {std::chrono::seconds(600), 1, 8});
        f.ask("e", 1);
        f.key = RequestKey("k2");
        CHECK(f.ask("e", 2) == GrantVerdict::Full);
        CHECK_FALSE(f.report("e", 2, 1, KeyEnd::NotRun));
        CHECK(f.events.numbers == std::vector<int> {static_cast<int>(HomesEvent::KeysFull)});
        CHECK(refusalOf(GrantVerdict::Full, KeyOrigin::Caller)->outcome == Outcome::NotRun);
    }

    TEST_CASE("A key that too many exchanges closed is refused, as a late copy couldn't be told")
    {
        Fixture f(-Window, {std::chrono::seconds(600), 100, 2});
        for (std::uint64_t exchange = 1; exchange <= 3; ++exchange)
            f.report("e", exchange, 1, KeyEnd::NotRun);
        CHECK(f.ask("e", 3) == GrantVerdict::Full);
        CHECK(f.ask("e", 2) == GrantVerdict::OutcomeUnknown);
        CHECK(f.ask("e", 2, 2) == GrantVerdict::Granted);
    }

    TEST_CASE("During a change of roster a home grants only to those who ask the other home too")
    {
        // e still knows the old roster and asks the old home alone; g has just started and knows
        // the new one alone. If each were granted by one home, the key would run twice.
        Fixture f;
        f.map.apply(configurationOf(2, {"i"}), at(0));
        const GrantReply reply = f.ask(f.request("e", 1, 1));
        CHECK(reply.verdict == GrantVerdict::WrongHome);
        CHECK(reply.homes == members({"h", "i"}));
        CHECK(reply.generation == Generation(2));
        GrantRequest both = f.request("e", 1, 1);
        both.otherHomes = members({"i"});
        CHECK(f.ask(both).verdict == GrantVerdict::Granted);
        f.now = at(Window);
        CHECK(f.ask(both).verdict == GrantVerdict::WrongHome);
    }

    TEST_CASE("Without memory of a caller's key a refusal says unknown, for a minted key not run")
    {
        CHECK_FALSE(refusalOf(GrantVerdict::Granted, KeyOrigin::Caller));
        CHECK_FALSE(refusalOf(GrantVerdict::WrongHome, KeyOrigin::Caller));
        for (const GrantVerdict verdict : {GrantVerdict::Running, GrantVerdict::Finished,
                                           GrantVerdict::OutcomeUnknown, GrantVerdict::LostMemory})
            CHECK(refusalOf(verdict, KeyOrigin::Caller)->outcome == Outcome::Unknown);
        CHECK(refusalOf(GrantVerdict::LostMemory, KeyOrigin::Minted)->outcome == Outcome::NotRun);
        CHECK(unreachableHomeRefusal(KeyOrigin::Minted).outcome == Outcome::NotRun);
        CHECK(unreachableHomeRefusal(KeyOrigin::Caller).outcome == Outcome::Unknown);
    }
}

// The caller sends its key with another body and asks what became of it. The home tells that the
// key belongs to another request, so that no entry hands out the first body's answer.
TEST_CASE("A query with another body than the key's is a conflict")
{
    Fixture f;
    REQUIRE(f.ask("e", 1, 1) == GrantVerdict::Granted);
    const Fingerprint own = f.request("e", 1, 1).fingerprint;
    CHECK(f.state("c", own) == KeyState::Running);
    CHECK(f.state("c", Fingerprint(own.value() + 1)) == KeyState::Conflict);
    CHECK(f.state("c") == KeyState::Running);
}
