#include <apricothook_fault_scenario.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The entry uses room within 3 s; a class of the bench has 8 s of patience.
constexpr Duration PastLease = seconds(5);
constexpr Duration PastPatience = seconds(12);
constexpr Duration ShortCut = seconds(2);
constexpr Duration LongCut = seconds(40);

void ruleFor(FaultBench &bench, MessageKind kind, LinkRule rule, std::size_t count)
{
    switch (kind) {
    case MessageKind::ReserveRequest:
        return bench.rule<ReserveRequest>(rule, count);
    case MessageKind::ReserveReply:
        return bench.rule<ReserveReply>(rule, count);
    case MessageKind::GrantRequest:
        return bench.rule<GrantRequest>(rule, count);
    case MessageKind::GrantReply:
        return bench.rule<GrantReply>(rule, count);
    case MessageKind::KeyQuery:
        return bench.rule<KeyQuery>(rule, count);
    case MessageKind::KeyQueryReply:
        return bench.rule<KeyQueryReply>(rule, count);
    case MessageKind::OutcomeReport:
        return bench.rule<OutcomeReport>(rule, count);
    case MessageKind::OutcomeAcknowledged:
        return bench.rule<OutcomeAcknowledged>(rule, count);
    case MessageKind::Release:
        return bench.rule<Release>(rule, count);
    case MessageKind::InFlightReport:
        return bench.rule<InFlightReport>(rule, count);
    }
}

} // namespace

// ---- Faults.

void FaultScenario::inject(Fault fault)
{
    injectDaemonFault(fault) || injectTargetFault(fault) || injectCallerFault(fault)
        || injectMessageFault(fault) || injectCut(fault) || injectChange(fault);
}

/** Lets the step go on: what it holds arrives, and a request that is about to come comes. */
void FaultScenario::proceed()
{
    if (!m_isHeldBack)
        return;
    m_isHeldBack = false;
    bench.targets.answersAlone = true;
    bench.release();
    if (m_calls.empty())
        call();
}

void FaultScenario::pause(std::size_t daemon, Duration duration)
{
    bench.pause(daemon);
    proceed();
    bench.advance(duration);
    bench.wake(daemon);
}

void FaultScenario::pauseAndReplace(std::size_t daemon)
{
    bench.pause(daemon);
    bench.replace(daemon);
    proceed();
    bench.advance(PastLease);
    if (!isAnswered(m_calls.front()))
        resend(m_other);
    bench.advance(seconds(1));
    bench.wake(daemon);
}

bool FaultScenario::injectDaemonFault(Fault fault)
{
    const auto restart = [this](std::size_t daemon) {
        bench.kill(daemon);
        bench.start(daemon);
        bench.advance(milliseconds(500));
    };
    switch (fault) {
    case Fault::EntryDies:
        bench.kill(m_entry);
        return true;
    case Fault::HomeDies:
        bench.kill(m_home);
        return true;
    case Fault::StewardDies:
        bench.kill(m_steward);
        return true;
    case Fault::EntryRestarts:
        restart(m_entry);
        return true;
    case Fault::HomeRestarts:
        restart(m_home);
        return true;
    case Fault::StewardRestarts:
        restart(m_steward);
        return true;
    case Fault::EntryPausedPastLease:
        pause(m_entry, PastLease);
        return true;
    case Fault::EntryPausedPastPatience:
        pause(m_entry, PastPatience);
        return true;
    case Fault::EntryPausedAndReplaced:
        pauseAndReplace(m_entry);
        return true;
    case Fault::HomePausedPastLease:
        pause(m_home, PastLease);
        return true;
    case Fault::HomePausedPastPatience:
        pause(m_home, PastPatience);
        return true;
    case Fault::HomePausedAndReplaced:
        pauseAndReplace(m_home);
        return true;
    case Fault::StewardPausedPastLease:
        pause(m_steward, PastLease);
        return true;
    case Fault::StewardPausedPastPatience:
        pause(m_steward, PastPatience);
        return true;
    case Fault::StewardPausedAndReplaced:
        pauseAndReplace(m_steward);
        return true;
    case Fault::EntryStops:
        bench.stop(m_entry);
        return true;
    case Fault::HomeStops:
        bench.stop(m_home);
        return true;
    case Fault::StewardStops:
        bench.stop(m_steward);
        return true;
    case Fault::NewSteward:
        bench.joinAsSteward(m_service);
        return true;
    default:
        return false;
    }
}

Target *FaultScenario::target()
{
    const bool isKnown = m_step != Step::Arriving && m_step != Step::Waiting
        && m_step != Step::Confirming && !bench.grantedTarget.isEmpty();
    const TargetId id = isKnown ? bench.grantedTarget : TargetId(m_isEngine ? "e1" : "p1");
    return &*std::ranges::find(bench.text().targets, id, &Target::id);
}

void FaultScenario::makeTarget(TargetMode mode)
{
    bench.targets.trappedKey = m_key;
    bench.targets.trap = mode;
    if (bench.targets.runsOf(m_key) > 0)
        bench.targets.modes[target()->id] = mode;
}

bool FaultScenario::injectTargetFault(Fault fault)
{
    FakeTargets &targets = bench.targets;
    switch (fault) {
    case Fault::TargetUnreachable:
        makeTarget(TargetMode::Unreachable);
        return true;
    case Fault::TargetDies:
        makeTarget(TargetMode::Unreachable);
        targets.crash(target()->id);
        return true;
    case Fault::TargetCrashes:
        makeTarget(TargetMode::Crashes);
        return true;
    case Fault::TargetStraggles:
        makeTarget(TargetMode::Straggles);
        targets.straggle(target()->id);
        return true;
    case Fault::TargetRefuses:
        makeTarget(TargetMode::Refuses);
        return true;
    case Fault::AllTargetsRefuse:
        for (const Target &each : bench.text().targets)
            targets.modes[each.id] = TargetMode::Refuses;
        return true;
    case Fault::ConnectionSilent:
        targets.loseConnections();
        return true;
    case Fault::RingFullForAWhile:
        targets.isRingFull = true;
        proceed();
        bench.advance(milliseconds(500));
        targets.isRingFull = false;
        return true;
    case Fault::RingStaysFull:
        targets.isRingFull = true;
        return true;
    default:
        return false;
    }
}

bool FaultScenario::injectCallerFault(Fault fault)
{
    const auto ensureCalled = [this] {
        if (m_calls.empty())
            call();
    };
    switch (fault) {
    case Fault::CallerLeaves:
        ensureCalled();
        bench.leave(m_calls.front());
        return true;
    case Fault::CallerLeavesAndReturns:
        ensureCalled();
        bench.leave(m_calls.front());
        proceed();
        bench.advance(seconds(1));
        resend(m_other);
        return true;
    case Fault::ResentAtSameEntry:
        ensureCalled();
        resend(m_entry);
        return true;
    case Fault::ResentAtOtherEntry:
        ensureCalled();
        resend(m_other);
        return true;
    case Fault::OtherBodyWithKey:
        ensureCalled();
        bench.call(m_other, m_key, "charge 500 dollars", m_service);
        return true;
    case Fault::BurstOfLowerTier:
        for (int i = 0; i < 600; ++i)
            bench.call(m_other, "", "low work " + std::to_string(i), m_service, "low");
        return true;
    default:
        return false;
    }
}

bool FaultScenario::injectMessageFault(Fault fault)
{
    switch (fault) {
    case Fault::MessageLost:
        bench.dropHeld();
        return true;
    case Fault::MessageDoubled:
        bench.doubleHeld();
        return true;
    case Fault::MessageLate:
        bench.advance(seconds(2));
        return true;
    default:
        return false;
    }
}

void FaultScenario::injectMessages(MessageKind kind, MessageFault fault)
{
    static constexpr LinkRule Rules[]
        = {LinkRule::Drop, LinkRule::Double, LinkRule::Hold, LinkRule::LateCopy};
    const std::size_t count = fault == MessageFault::LostTwice ? 2 : SIZE_MAX;
    ruleFor(bench, kind, Rules[static_cast<std::size_t>(fault)], count);
    bench.targets.answersAlone = true;
    m_isHeldBack = false;
    call();
    bench.advance(seconds(1));
    bench.release();
}

bool FaultScenario::injectCut(Fault fault)
{
    switch (fault) {
    case Fault::EntryAndHomeCut:
        bench.cutLink(m_entry, m_home);
        return true;
    case Fault::EntryAndHomeCutShort:
        bench.cutLink(m_entry, m_home);
        proceed();
        bench.advance(ShortCut);
        bench.mend();
        return true;
    case Fault::EntryAndHomeCutLong:
        bench.cutLink(m_entry, m_home);
        proceed();
        bench.advance(LongCut);
        bench.mend();
        bench.advance(LongCut / 2);
        return true;
    case Fault::EntryAndStewardCut:
        bench.cutLink(m_entry, m_steward);
        return true;
    case Fault::HalvesCutWithHome:
        bench.cut({m_entry, m_home});
        return true;
    case Fault::HalvesCutWithSteward:
        bench.cut({m_entry, m_steward});
        return true;
    default:
        return false;
    }
}

void FaultScenario::change()
{
    bench.publish();
    bench.advance(seconds(2));
}

bool FaultScenario::injectChange(Fault fault)
{
    FleetText &text = bench.text();
    switch (fault) {
    case Fault::PlatformDown:
        bench.isPlatformUp = false;
        return true;
    case Fault::PlatformStale:
        change();
        bench.staleAt = Generation(1);
        return true;
    case Fault::HomeLeavesRoster:
        std::erase_if(text.roster, [&](const RosterEntry &entry) {
            return entry.id == MemberId(std::string(1, static_cast<char>('a' + m_home)));
        });
        break;
    case Fault::TargetRemoved:
        text.targets.erase(text.targets.begin() + (target() - text.targets.data()));
        break;
    case Fault::TierLowered:
        text.classes.front().tier = Tier(3);
        break;
    case Fault::CustomerRemoved:
        text.customers.front().id = CustomerId("another");
        text.customers.front().keyHashes = {"another token"};
        break;
    case Fault::ServiceRemoved:
        std::erase_if(text.targets,
                      [&](const Target &each) { return each.service == ServiceId(m_service); });
        std::erase_if(text.services,
                      [&](const Service &each) { return each.id == ServiceId(m_service); });
        break;
    case Fault::TargetVmLeaves:
        bench.setLeavingVms({target()->vm});
        return true;
    case Fault::HomeFull:
        text.policy.keptKeys = 0;
        break;
    default:
        return false;
    }
    change();
    return true;
}

} // namespace Apricothook
