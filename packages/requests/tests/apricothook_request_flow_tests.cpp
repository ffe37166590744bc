#include "apricothook_flow_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;
using namespace std::chrono_literals;

TEST_CASE("A request takes room, then a grant, then runs, and everybody learns how it ended")
{
    FlowFixture f;
    const std::shared_ptr<AnswerStream> answer = f.call(1);
    CHECK(f.sent<ReserveRequest>().size() == 1);
    f.reserved(1);
    CHECK(f.sent<GrantRequest>().size() == 1);
    CHECK(f.fakes.orders.empty());
    f.granted(1);
    REQUIRE(f.fakes.orders.size() == 1);
    answer->begin({200, {}});
    answer->append("whole");
    answer->finish();
    f.ended(RunEnd::Answered);
    const Outbox sent = f.out;
    CHECK(std::get<Release>(sent.at(0).message).end == RunEnd::Answered);
    CHECK(std::get<OutcomeReport>(sent.at(1).message).end == KeyEnd::Answered);
    CHECK(f.flow.activeExchanges() == 0);
    REQUIRE(f.fakes.summaries.size() == 1);
    CHECK(f.fakes.summaries.front().isWithinPatience);
}

// The caller sees one answer. The reply to the reservation is lost, then the grant's, and each
// message is sent again with the same attempt; a doubled reply afterwards changes nothing.
TEST_CASE("Lost and doubled replies lead to one dispatch")
{
    FlowFixture f;
    f.call(1);
    f.sent<ReserveRequest>();
    f.advance(60ms);
    const auto again = f.sent<ReserveRequest>();
    REQUIRE(again.size() == 1);
    CHECK(again.front().attempt == f.attempt(1));
    f.reserved(1);
    f.sent<GrantRequest>();
    f.advance(60ms);
    CHECK(f.sent<GrantRequest>().size() == 1);
    f.granted(1);
    f.granted(1);
    f.reserved(1);
    CHECK(f.fakes.orders.size() == 1);
}

// The caller waits a little longer. The first shard's steward died and membership hasn't seen it
// yet; after four sends the next shard is asked under a new attempt, and the old one is taken back.
TEST_CASE("A silent steward is left for the next shard")
{
    FlowFixture f;
    f.fakes.shardList.push_back({ServiceId("engines"), RegionId("r"), 1});
    f.fakes.stewards[f.fakes.shardList[1]] = MemberId("other");
    f.call(1);
    for (int i = 0; i < 4; ++i)
        f.advance(1s);
    const Outbox sent = f.out;
    const auto isToOther = [](const OutgoingMessage &o) { return o.to == MemberId("other"); };
    const auto asked = std::ranges::find_if(sent, isToOther);
    REQUIRE(asked != sent.end());
    CHECK(std::get<ReserveRequest>(asked->message).attempt == f.attempt(1, 2));
    CHECK(std::holds_alternative<ReserveCancel>(std::prev(asked)->message));
}

// The caller waits in a shard's queue. A new text has fewer targets and no such shard; whoever kept
// it answers that it isn't the steward. The request turns to a shard that there is, as a new
// attempt, rather than to ask for the old one until its patience ends.
TEST_CASE("A request leaves a shard that a new configuration cut away")
{
    FlowFixture f;
    f.fakes.shardList = {{ServiceId("engines"), RegionId("r"), 1}};
    f.call(1);
    f.refusedBySteward(1, ReserveVerdict::Queued);
    f.sent<ReserveRequest>();
    f.fakes.shardList = {{ServiceId("engines"), RegionId("r"), 0}};
    f.flow.membersChanged(f.now, f.out);
    f.advance(1ms);
    const auto asked = f.sent<ReserveRequest>();
    REQUIRE(asked.size() == 1);
    CHECK(asked.front().shard.index == 0);
    CHECK(asked.front().attempt == f.attempt(1, 2));
}

// The request's first target refuses it, and its second attempt waits for room. A copy of the
// question that it asked at the start reaches the home late, which names the first attempt as
// running. The request doesn't wait for that "run", which is its own and was proved not to have
// been.
TEST_CASE("A late copy of a question doesn't take the request's own attempt for another's run")
{
    FlowFixture f;
    f.call(1, "k");
    f.homeSays(1, "k", KeyState::NotSeen);
    f.reserved(1);
    f.granted(1);
    f.ended(RunEnd::Refused, true);
    f.homeSays(1, "k", KeyState::Running);
    f.sent<GrantRequest>();
    f.reserved(1, "t2", 2);
    CHECK(f.sent<GrantRequest>().size() == 1);
}

// The daemon is paused between the reservation and the grant and wakes after the lease: its room
// may have been given away. Nothing is sent; it asks for room again, as the attempt after.
TEST_CASE("A grant that comes after the reservation lapsed is not used")
{
    FlowFixture f;
    f.call(1);
    f.reserved(1);
    f.now += 4s;
    f.sent<ReserveRequest>();
    f.granted(1);
    CHECK(f.fakes.orders.empty());
    const auto again = f.sent<ReserveRequest>();
    REQUIRE(again.size() == 1);
    CHECK(again.front().attempt == f.attempt(1, 2));
    f.reserved(1, "t2", 2);
    const auto grants = f.sent<GrantRequest>();
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().closesPrevious);
}

// As above, but the whole patience passed while the daemon was paused: the caller reads "not run",
// which is true as no order was given, and the home is told so.
TEST_CASE("A daemon that wakes after the patience sends nothing and says so")
{
    FlowFixture f;
    const std::shared_ptr<AnswerStream> answer = f.call(1);
    f.reserved(1);
    f.now += 11s;
    f.granted(1);
    CHECK(f.fakes.orders.empty());
    REQUIRE(answer->refusal());
    CHECK(*answer->refusal()
          == Refusal {RefusalReason::PatienceOver, Outcome::NotRun, Duration(1s)});
    const auto reports = f.sent<OutcomeReport>();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().end == KeyEnd::NotRun);
}

TEST_SUITE("[at-most-once]")
{
    // The target refuses the connection: no byte was sent, so another target may be tried, through
    // a new grant that closes the old one.
    TEST_CASE("A proven not-run leads to another target")
    {
        FlowFixture f;
        f.call(1);
        f.reserved(1);
        f.granted(1);
        f.out.clear();
        f.ended(RunEnd::ConnectFailed, true);
        const auto again = f.sent<ReserveRequest>();
        REQUIRE(again.size() == 1);
        CHECK(again.front().excluded == std::vector {TargetId("t1")});
        CHECK(again.front().attempt.attempt == 2);
    }

    // The connection breaks after the request was sent. It may have run, so there is no other
    // attempt whatever the class, and the caller reads "unknown".
    TEST_CASE("An unproven end is final")
    {
        FlowFixture f;
        const std::shared_ptr<AnswerStream> answer = f.call(1);
        f.reserved(1);
        f.granted(1);
        f.out.clear();
        f.ended(RunEnd::Crashed);
        REQUIRE(answer->refusal());
        CHECK(answer->refusal()->outcome == Outcome::Unknown);
        CHECK(f.sent<ReserveRequest>().empty());
        CHECK(f.fakes.orders.size() == 1);
    }

    // Two homes share a key during a roster change. One grants and the other doesn't answer: the
    // request isn't sent, and at the end the first home gets its grant back.
    TEST_CASE("A grant by one of two homes is no grant")
    {
        FlowFixture f;
        f.fakes.homeMembers.push_back(MemberId("second"));
        f.call(1);
        f.reserved(1);
        f.granted(1);
        CHECK(f.fakes.orders.empty());
        f.out.clear();
        f.advance(11s);
        CHECK(f.fakes.orders.empty());
        const auto reports = f.sent<OutcomeReport>();
        CHECK(reports.size() == 2);
        CHECK(f.fakes.summaries.back().refusal->outcome == Outcome::NotRun);
    }

    // Every target refuses everything. Retries are a share of the requests, so the targets get at
    // most 20 and a tenth more than the callers sent.
    TEST_CASE("The retry budget bounds what targets that refuse everything get")
    {
        constexpr int Requests = 400;
        FlowFixture f;
        for (int i = 1; i <= Requests; ++i) {
            f.call(i);
            for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
                f.reserved(i, ("t" + std::to_string(attempt)).c_str(), attempt);
                const std::size_t before = f.fakes.orders.size();
                f.granted(i, GrantVerdict::Granted, attempt);
                if (f.fakes.orders.size() > before)
                    f.ended(RunEnd::Refused, true);
            }
        }
        CHECK(f.fakes.orders.size() <= Requests + 20 + Requests / 10);
        CHECK(f.fakes.orders.size() >= Requests + Requests / 10);
    }
}

TEST_SUITE("[resend]")
{
    // The caller sends a key again while its first run goes on at another entry. It waits, and gets
    // the answer of the first run when the home says that it is there.
    TEST_CASE("A resend waits for the first run's answer")
    {
        FlowFixture f;
        const std::shared_ptr<AnswerStream> answer = f.call(1, "k");
        f.homeSays(1, "k", KeyState::Running);
        CHECK_FALSE(f.sent<ReserveCancel>().empty());
        f.advance(300ms);
        CHECK(f.sent<KeyQuery>().size() == 1);
        f.homeSays(1, "k", KeyState::Answered);
        REQUIRE(f.fakes.fetched.size() == 1);
        const KeptAnswer kept {{200, {}}, "first"};
        f.flow.handle(KeptAnswerFetched {ExchangeId(1), std::make_shared<const KeptAnswer>(kept)},
                      f.now);
        CHECK(answer->state() == AnswerStream::State::Finished);
        CHECK(f.fakes.orders.empty());
    }

    // The entry that ran the request died with it. The home knows the target, and the engine's
    // stream goes on there: only the stream is fetched, nothing runs again.
    TEST_CASE("A resend takes over the stream of an entry that died")
    {
        FlowFixture f;
        f.call(1, "k");
        f.homeSays(1, "k", KeyState::Unknown);
        REQUIRE(f.fakes.orders.size() == 1);
        CHECK(f.lastDispatch().resumeOnly);
    }

    TEST_CASE("A plain service's lost run can't be taken over and is told as unknown")
    {
        FlowFixture f;
        const std::shared_ptr<AnswerStream> answer = f.call(1, "k", "charges");
        f.homeSays(1, "k", KeyState::Unknown);
        CHECK(f.fakes.orders.empty());
        CHECK(*answer->refusal() == Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}});
    }
}

TEST_SUITE("[not-run]")
{
    // A key that the caller chose is refused for want of room. Its first attempt, at another entry,
    // is running: "not run" would make the caller use a new key and run it twice.
    TEST_CASE("A refused key that ran elsewhere is told as unknown")
    {
        FlowFixture f;
        const std::shared_ptr<AnswerStream> answer = f.call(1, "k");
        f.homeSays(1, "k", KeyState::NotSeen);
        f.refusedBySteward(1, ReserveVerdict::Shed);
        CHECK(answer->state() == AnswerStream::State::Waiting);
        SUBCASE("running")
        {
            f.homeSays(1, "k", KeyState::Running);
            CHECK(*answer->refusal() == Refusal {RefusalReason::Shed, Outcome::Unknown, {}});
        }
        SUBCASE("unheard of")
        {
            f.homeSays(1, "k", KeyState::NotSeen);
            CHECK(*answer->refusal() == Refusal {RefusalReason::Shed, Outcome::NotRun, {}});
        }
        SUBCASE("its home doesn't answer")
        {
            f.advance(600ms);
            CHECK(*answer->refusal() == Refusal {RefusalReason::Shed, Outcome::Unknown, {}});
        }
    }

    TEST_CASE("A minted key is fresh, so its refusal needs no inquiry")
    {
        FlowFixture f;
        const std::shared_ptr<AnswerStream> answer = f.call(1);
        f.refusedBySteward(1, ReserveVerdict::Shed);
        CHECK(*answer->refusal() == Refusal {RefusalReason::Shed, Outcome::NotRun, {}});
    }

    // The entry died, and with it the home of the key, which was the same daemon. The caller sends
    // the key again elsewhere. Witnesses are asked; one knows the target, and the stream is read.
    TEST_CASE("A witness finds the stream of a run whose entry and home died")
    {
        FlowFixture f;
        f.fakes.isHomeGone = true;
        const std::shared_ptr<AnswerStream> answer = f.call(1, "k");
        CHECK(f.sent<HintQuery>().size() == 2);
        f.flow.handle(MemberId("w1"), HintReply {1, RequestKey("k@mulgara"), {}}, f.now, f.out);
        CHECK(answer->state() == AnswerStream::State::Waiting);
        f.flow.handle(MemberId("w2"), HintReply {1, RequestKey("k@mulgara"), TargetId("t2")}, f.now,
                      f.out);
        REQUIRE(f.fakes.orders.size() == 1);
        CHECK(f.lastDispatch().resumeOnly);
        CHECK(f.lastDispatch().target == TargetId("t2"));
    }

    TEST_CASE("A run of a caller's key at an engine is told to one witness")
    {
        FlowFixture f;
        f.call(1, "k");
        f.homeSays(1, "k", KeyState::NotSeen);
        f.reserved(1);
        f.granted(1);
        const auto hints = f.sent<RunHint>();
        REQUIRE(hints.size() == 1);
        CHECK(hints.front().target == TargetId("t1"));
        CHECK(hints.front().fingerprint == Fingerprint(5));
        f.call(2);
        f.reserved(2);
        f.granted(2);
        CHECK(f.sent<RunHint>().empty());
    }

    TEST_CASE("A key whose home is gone may have run")
    {
        FlowFixture f;
        f.fakes.isHomeGone = true;
        const std::shared_ptr<AnswerStream> answer = f.call(1, "k");
        f.flow.handle(MemberId("w1"), HintReply {1, RequestKey("k@mulgara"), {}}, f.now, f.out);
        SUBCASE("no witness knows of it")
        {
            f.flow.handle(MemberId("w2"), HintReply {1, RequestKey("k@mulgara"), {}}, f.now, f.out);
        }
        SUBCASE("a witness doesn't answer")
        {
            f.advance(600ms);
        }
        REQUIRE(answer->refusal());
        CHECK(*answer->refusal() == Refusal {RefusalReason::HomeLostMemory, Outcome::Unknown, {}});
        CHECK(f.sent<ReserveRequest>().empty());
    }
}

TEST_SUITE("[caller-gone]")
{
    TEST_CASE("A caller who leaves gives back the room and the grant")
    {
        FlowFixture f;
        f.call(1);
        f.reserved(1);
        f.out.clear();
        f.flow.handle(CallerGone {ExchangeId(1)}, f.now, f.out);
        const Outbox sent = f.out;
        CHECK(std::get<OutcomeReport>(sent.at(0).message).end == KeyEnd::NotRun);
        CHECK(std::holds_alternative<ReserveCancel>(sent.at(1).message));
        f.granted(1);
        CHECK(f.fakes.orders.empty());
    }

    TEST_CASE("A caller who leaves a running engine cancels it, after a grace if it may come back")
    {
        FlowFixture f;
        std::string key;
        SUBCASE("without a key") { }
        SUBCASE("with a key")
        {
            key = "k";
        }
        f.call(1, key);
        f.reserved(1);
        f.granted(1);
        f.flow.handle(CallerGone {ExchangeId(1)}, f.now, f.out);
        const auto isCancelled
            = [&f] { return std::holds_alternative<CancelOrder>(f.fakes.orders.back()); };
        CHECK(isCancelled() == key.empty());
        f.advance(2100ms);
        CHECK(isCancelled());
    }

    // Room is granted to an exchange whose caller has left: it must not stay held until its lease
    // ends.
    TEST_CASE("Room that comes too late is given back")
    {
        FlowFixture f;
        f.call(1);
        f.flow.handle(CallerGone {ExchangeId(1)}, f.now, f.out);
        f.out.clear();
        f.reserved(1);
        CHECK(f.sent<ReserveCancel>().size() == 1);
    }
}

TEST_CASE("An outcome is reported until the home has acknowledged it")
{
    FlowFixture f;
    f.call(1);
    f.reserved(1);
    f.granted(1);
    f.ended(RunEnd::Answered);
    f.out.clear();
    f.advance(100ms);
    CHECK(f.sent<OutcomeReport>().size() == 1);
    f.flow.handle(MemberId("home"), OutcomeAcknowledged {f.attempt(1), {}});
    f.advance(10s);
    CHECK(f.sent<OutcomeReport>().empty());
    CHECK(f.flow.pendingReports() == 0);
}

// The caller sends a used key with another body, after its first run ended as unknown. The home
// knows the body that the key belongs to: no stream is fetched, and the caller reads 409.
TEST_CASE("A key that belongs to another body brings neither its answer nor its stream")
{
    FlowFixture f;
    const std::shared_ptr<AnswerStream> answer = f.call(1, "k");
    const auto asked = f.sent<KeyQuery>();
    REQUIRE(asked.size() == 1);
    CHECK(asked.front().fingerprint == Fingerprint(5));
    f.homeSays(1, "k", KeyState::Conflict);
    CHECK(f.fakes.orders.empty());
    CHECK(*answer->refusal() == Refusal {RefusalReason::KeyConflict, Outcome::NotRun, {}});
}

// Reports renew leases every three seconds for as long as a request runs. Its prompt's prefixes are
// most of its bytes, and only a steward that took the shard over lacks them.
TEST_CASE("Prefixes are told to new stewards, not in each renewal")
{
    FlowFixture f;
    f.call(1);
    f.reserved(1);
    f.granted(1);
    f.flow.membersChanged(f.now, f.out);
    f.out.clear();
    f.advance(4s);
    const auto renewals = f.sent<InFlightReport>();
    REQUIRE(renewals.size() == 1);
    CHECK(renewals.front().running.at(0).prefixes.empty());
    f.fakes.stewards[f.fakes.shardList.front()] = MemberId("other");
    f.flow.membersChanged(f.now, f.out);
    const auto whole = f.sent<InFlightReport>();
    REQUIRE(whole.size() == 1);
    CHECK(whole.front().running.at(0).prefixes.size() == 2);
}
