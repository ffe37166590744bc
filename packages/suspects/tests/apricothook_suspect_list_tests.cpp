#include <apricothook/suspects/apricothook_suspect_list.hpp>

#include <apricothook/testsupport/apricothook_fake_member_view.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

const Fingerprint Poison(666);
const Fingerprint Innocent(1);
const Fingerprint Another(2);

struct Fixture
{
    void crash(const std::string &target, std::vector<Fingerprint> running, double seconds = 0)
    {
        list.recordCrash({TargetId(target), std::move(running)}, at(seconds), out);
    }
    bool isRefused(Fingerprint fingerprint, double seconds = 0)
    {
        return list.check(fingerprint, at(seconds)) == SuspectVerdict::Quarantined;
    }

    FakeMemberView members {{MemberId("a"), Incarnation(1)}, {"b", "c", "d", "e", "f", "g"}};
    FakeRandom random;
    FakeEvents events;
    SuspectLimits limits;
    Outbox out;
    SuspectList list {members, random, events, limits};
};

} // namespace

TEST_SUITE("[homes][suspects]")
{
    TEST_CASE("A request that alone was running at two targets' crashes is refused; others are not")
    {
        // A request crashes its target, is sent again by its caller and crashes the next target,
        // each time together with other running requests. Without quarantine it would go through
        // all targets.
        Fixture f;
        f.crash("t1", {Innocent, Poison});
        CHECK_FALSE(f.isRefused(Poison));
        CHECK(f.list.excludedTargets(Poison) == std::vector {TargetId("t1")});
        f.crash("t2", {Poison, Another});
        CHECK(f.isRefused(Poison));
        CHECK_FALSE(f.isRefused(Innocent));
        CHECK_FALSE(f.isRefused(Another));
        CHECK(f.list.quarantineLeft(Poison, at(60)) == std::chrono::minutes(9));
    }

    TEST_CASE("Targets whose VMs fail cause no quarantine")
    {
        // A VM dies with all its requests. They are sent again to a second target, whose VM dies
        // too, as when a rack is lost. No request stands out, so none may be refused.
        Fixture f;
        f.crash("t1", {Innocent, Another, Poison});
        f.crash("t1", {Innocent});
        CHECK_FALSE(f.isRefused(Innocent));
        f.crash("t2", {Innocent, Another, Poison});
        for (const Fingerprint fingerprint : {Innocent, Another, Poison})
            CHECK_FALSE(f.isRefused(fingerprint));
        SUBCASE("a third crash tells them apart")
        {
            f.crash("t3", {Poison});
            CHECK(f.isRefused(Poison));
            CHECK_FALSE(f.isRefused(Innocent));
        }
        SUBCASE("answers to the others tell them apart")
        {
            f.list.recordAnswer(Innocent, at(1));
            CHECK_FALSE(f.isRefused(Poison));
            f.list.recordAnswer(Another, at(1));
            CHECK(f.isRefused(Poison));
        }
    }

    TEST_CASE("A target that crashes twice under the same request may itself be broken")
    {
        Fixture f;
        f.crash("t1", {Innocent});
        f.crash("t1", {Innocent});
        CHECK_FALSE(f.isRefused(Innocent));
    }

    TEST_CASE("A notice from another entry shows that a request did not explain both crashes alone")
    {
        Fixture f;
        f.crash("t1", {Innocent});
        f.crash("t2", {Innocent});
        REQUIRE(f.isRefused(Innocent));
        f.list.handle(MemberId("b"), {Poison, {TargetId("t1"), TargetId("t2")}, false, {}}, at(1),
                      f.out);
        CHECK_FALSE(f.isRefused(Innocent));
    }

    TEST_CASE("After the quarantine one attempt is allowed, and its outcome decides")
    {
        Fixture f;
        f.crash("t1", {Poison});
        f.crash("t2", {Poison});
        CHECK(f.isRefused(Poison, 599));
        CHECK(f.list.check(Poison, at(600)) == SuspectVerdict::Trial);
        CHECK(f.isRefused(Poison, 601));
        SUBCASE("another crash: refused again")
        {
            f.crash("t2", {Poison}, 610);
            CHECK(f.isRefused(Poison, 1209));
        }
        SUBCASE("a crash of a third target: refused again")
        {
            f.crash("t3", {Poison}, 610);
            CHECK(f.isRefused(Poison, 1209));
        }
        SUBCASE("a crash of one target more than are remembered: refused again")
        {
            for (std::size_t i = 3; i < 3 + f.limits.targets; ++i)
                f.crash("t" + std::to_string(i), {Poison}, 610 + static_cast<double>(i));
            CHECK(f.list.excludedTargets(Poison).size() == f.limits.targets);
            CHECK(f.isRefused(Poison, 611 + static_cast<double>(f.limits.targets) + 599));
        }
        SUBCASE("a notice of a crash in another entry's trial: refused again")
        {
            const SuspectNotice notice {Poison, {TargetId("t3")}, true, {}};
            f.list.handle(MemberId("b"), notice, at(610), f.out);
            CHECK(f.isRefused(Poison, 1209));
        }
        SUBCASE("another request's crash on the same target: nothing changes")
        {
            f.crash("t1", {Innocent}, 700);
            CHECK(f.list.check(Poison, at(720)) == SuspectVerdict::Trial);
        }
        SUBCASE("an answer: not refused any more")
        {
            f.list.recordAnswer(Poison, at(610));
            CHECK(f.list.check(Poison, at(611)) == SuspectVerdict::Clear);
        }
        SUBCASE("no outcome: one more trial")
        {
            CHECK(f.list.check(Poison, at(720)) == SuspectVerdict::Trial);
        }
    }

    TEST_CASE("A notice goes to a few members, is forwarded once and dies out")
    {
        Fixture f;
        f.crash("t1", {Poison});
        std::set<MemberId> recipients;
        for (const OutgoingMessage &outgoing : f.out)
            recipients.insert(outgoing.to);
        CHECK(recipients.size() == f.limits.fanOut);
        CHECK_FALSE(recipients.contains(MemberId("a")));
        Outbox out;
        f.list.handle(MemberId("b"), {Poison, {TargetId("t1")}, false, {}}, at(1), out);
        CHECK(out.empty());
        f.list.handle(MemberId("b"), {Poison, {TargetId("t1"), TargetId("t2")}, true, {}}, at(1),
                      out);
        CHECK(out.size() == f.limits.fanOut);
        CHECK(f.isRefused(Poison, 1));
    }

    TEST_CASE("The list is bounded, keeps quarantined requests and forgets old ones")
    {
        Fixture f;
        f.crash("t1", {Poison});
        f.crash("t2", {Poison});
        for (std::uint64_t i = 1000; i < 4000; ++i)
            f.crash("t3", {Fingerprint(i)}, 1);
        CHECK(f.list.size() == f.limits.suspects);
        CHECK(f.isRefused(Poison, 1));
        f.crash("t4", {Innocent}, 3600);
        CHECK(f.list.size() == 1);
    }
}
