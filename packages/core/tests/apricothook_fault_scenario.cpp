#include <apricothook_fault_scenario.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

using std::chrono::seconds;

constexpr Duration ToTheEnd = seconds(10);
const char *const Body = "charge 5 dollars";

} // namespace

FaultScenario::FaultScenario(Step step, bool isEngine)
    : m_step(step), m_isEngine(isEngine), m_service(isEngine ? "chat" : "booking")
{
    chooseRoles();
    m_key = isEngine && step != Step::HalfGranted ? bench.ticketKeyAt(m_home)
                                                  : bench.keyAt(m_home, m_other);
    if (step == Step::Confirming)
        m_service = "bare";
    reach();
}

void FaultScenario::chooseRoles()
{
    m_steward = bench.stewardOf(m_service);
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < bench.size(); ++i) {
        if (i != m_steward)
            others.push_back(i);
    }
    m_entry = others[0];
    m_home = others[1];
    m_other = others[2];
}

// ---- To the step.

void FaultScenario::call()
{
    m_calls.push_back(bench.call(m_entry, m_key, Body, m_service));
}

void FaultScenario::fillSlots()
{
    for (int i = 0; i < 4; ++i)
        bench.call(m_other, "", "work before it", m_service);
}

void FaultScenario::changeRosterAndHalfGrant()
{
    bench.rule<GrantRequest>(LinkRule::Hold);
    std::erase_if(bench.text().roster, [&](const RosterEntry &entry) {
        return entry.id == MemberId(std::string(1, static_cast<char>('a' + m_home)));
    });
    change();
    call();
    bench.releaseFirst();
}

void FaultScenario::reach()
{
    switch (m_step) {
    case Step::Arriving:
        return;
    case Step::Waiting:
        fillSlots();
        break;
    case Step::Reserved:
        bench.rule<GrantRequest>(LinkRule::Hold);
        break;
    case Step::HalfGranted:
        changeRosterAndHalfGrant();
        return;
    case Step::Granted:
        bench.rule<GrantReply>(LinkRule::Hold);
        break;
    case Step::Finishing:
        bench.rule<OutcomeReport>(LinkRule::Hold);
        break;
    case Step::Confirming:
        bench.rule<KeyQueryReply>(LinkRule::Hold);
        break;
    default:
        break;
    }
    call();
    if (m_step == Step::Streaming)
        bench.targets.writeHalf(bench.targets.runs.back());
    if (m_step == Step::Finishing || m_step == Step::Answered)
        bench.targets.answer(bench.targets.runs.back());
    bench.settle();
}

// ---- The end.

void FaultScenario::resend(std::size_t daemon)
{
    if (m_calls.size() == 1)
        m_runsBefore = bench.targets.runsOf(m_key);
    m_calls.push_back(bench.call(daemon, m_key, Body, m_service));
}

void FaultScenario::conclude()
{
    proceed();
    bench.advance(ToTheEnd);
    const bool wantsAnswer
        = std::ranges::none_of(m_calls, [this](std::size_t call) { return isAnswered(call); });
    if ((wantsAnswer && !bench.callAt(m_calls.front()).hasLeft) || isDoneAtStep()) {
        resend(m_other);
        bench.advance(ToTheEnd);
    }
    bench.mend();
    bench.advance(seconds(2));
}

Expected FaultScenario::observed()
{
    const bool hasLeft = bench.callAt(m_calls.front()).hasLeft;
    if (!isDoneAtStep() && !hasLeft && isAnswered(m_calls.front()))
        return bench.targets.notRun[m_key] > 0 ? Expected::AnsweredAfterNotRun
                                               : Expected::AnsweredOnce;
    const bool isAnsweredLater = std::any_of(m_calls.begin() + 1, m_calls.end(),
                                             [this](std::size_t call) { return isAnswered(call); });
    if (isAnsweredLater)
        return observedOfResend();
    if (hasLeft)
        return Expected::LeftWithoutAnswer;
    const bool isNotRun = std::ranges::all_of(
        m_calls, [this](std::size_t call) { return bench.endOf(call) == CallEnd::NotRun; });
    if (isNotRun)
        return Expected::RefusedNotRun;
    return bench.targets.runsOf(m_key) > 0 ? Expected::RefusedUnknown
                                           : Expected::RefusedUnknownUnrun;
}

Expected FaultScenario::observedOfResend()
{
    const bool isTakenOver = std::ranges::any_of(bench.targets.runs, [this](const auto &run) {
        return run.key == m_key && run.readers.size() > 1;
    });
    if (isTakenOver)
        return Expected::StreamTakenOver;
    return m_runsBefore == 0 ? Expected::AnsweredByResend : Expected::AnswerFoundByResend;
}

} // namespace Apricothook
