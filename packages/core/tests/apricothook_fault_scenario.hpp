#pragma once

#include <apricothook_fault_bench.hpp>
#include <apricothook_fault_matrix.hpp>

namespace Apricothook {

/**
 * One cell of the matrix: brings a request to its step, injects faults, lets everything settle,
 * sends the key again where the caller has no answer, and tells what came of it. Entry, home and
 * steward are three daemons; a fourth takes what is sent again.
 */
class FaultScenario
{
public:
    FaultScenario(Step step, bool isEngine);

    void inject(Fault fault);
    /** For requests that arrive: the rule holds for messages of the kind for a second. */
    void injectMessages(MessageKind kind, MessageFault fault);
    void conclude();
    Expected observed();
    std::vector<std::string> brokenPromises() { return bench.brokenPromises(); }

    FaultBench bench;

private:
    Expected observedOfResend();
    void chooseRoles();
    void reach();
    void fillSlots();
    void changeRosterAndHalfGrant();
    void call();
    void resend(std::size_t daemon);
    /** The caller has its answer and sends the key again all the same. */
    bool isDoneAtStep() const { return m_step == Step::Finishing || m_step == Step::Answered; }
    bool isAnswered(std::size_t call) const { return bench.endOf(call) == CallEnd::Answered; }

    bool injectDaemonFault(Fault fault);
    bool injectTargetFault(Fault fault);
    bool injectCallerFault(Fault fault);
    bool injectMessageFault(Fault fault);
    bool injectCut(Fault fault);
    bool injectChange(Fault fault);
    void pause(std::size_t daemon, Duration duration);
    void pauseAndReplace(std::size_t daemon);
    void proceed();
    void change();
    /** The target of the request where it has one, else one that it may get. */
    Target *target();
    void makeTarget(TargetMode mode);

    Step m_step;
    bool m_isEngine;
    std::string m_service;
    std::size_t m_entry = 0;
    std::size_t m_home = 0;
    std::size_t m_steward = 0;
    std::size_t m_other = 0;
    std::string m_key;
    std::vector<std::size_t> m_calls;
    std::size_t m_runsBefore = 0; ///< Runs when the key was first sent again.
    bool m_isHeldBack = true;     ///< What the step holds hasn't been released.
};

} // namespace Apricothook
