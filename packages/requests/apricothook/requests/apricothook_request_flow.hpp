#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>
#include <apricothook/requests/apricothook_output_estimate.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>
#include <apricothook/requests/apricothook_retry_budget.hpp>
#include <apricothook/requests/internal/apricothook_earlier_run.hpp>
#include <apricothook/requests/internal/apricothook_exchange_book.hpp>
#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_grant_step.hpp>
#include <apricothook/requests/internal/apricothook_in_flight_reporter.hpp>
#include <apricothook/requests/internal/apricothook_reserve_step.hpp>
#include <apricothook/requests/internal/apricothook_run_step.hpp>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/**
 * The life of every request at its entry daemon, as one state machine: room from a steward, then
 * the grant of the key's homes, then the run, and the truth to the caller at each way out. See
 * docs/ARCHITECTURE.md and docs/AT-MOST-ONCE.md.
 */
class RequestFlow
{
public:
    explicit RequestFlow(const FlowPorts &ports);
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    void applyConfiguration(std::shared_ptr<const Configuration> configuration);
    /** Nothing is sent to targets on these VMs from now on, whatever room was reserved there. */
    void setLeavingVms(const std::vector<VmId> &vms);

    void handle(CallerRequest request, Instant now, Outbox &out);
    void handle(const CallerGone &gone, Instant now, Outbox &out);
    void handle(const KeyLookup &lookup, Instant now, Outbox &out);
    void handle(const DispatchStarted &started, Instant now);
    void handle(const DispatchEnded &ended, Instant now, Outbox &out);
    void handle(const KeptAnswerFetched &arrived, Instant now);
    void handle(const MemberId &from, const ReserveReply &reply, Instant now, Outbox &out);
    void handle(const MemberId &from, const GrantReply &reply, Instant now, Outbox &out);
    void handle(const MemberId &from, const KeyQueryReply &reply, Instant now, Outbox &out);
    void handle(const MemberId &from, const HintReply &reply, Instant now, Outbox &out);
    void handle(const MemberId &from, const OutcomeAcknowledged &message);

    void membersChanged(Instant now, Outbox &out);
    void tick(Instant now, Outbox &out);
    std::optional<Instant> nextDue() const;

    /** Refuses new requests from now on; those admitted go on to their end. */
    void close() { m_isClosed = true; }
    std::size_t activeExchanges() const { return m_book.size(); }
    /** Reports of outcomes that homes haven't acknowledged yet. */
    std::size_t pendingReports() const { return m_context.outcomes.pending(); }
    const ConfigurationIndex *index() const { return m_context.index.get(); }

private:
    void start(RequestLife &exchange, Instant now, Outbox &out);
    void withoutHome(RequestLife &exchange, Instant now, Outbox &out);
    void reserve(RequestLife &exchange, Instant now, Outbox &out);
    void advance(RequestLife &exchange, const ReserveStep::Advance &advance, Instant now,
                 Outbox &out);
    void grant(RequestLife &exchange, Instant now, Outbox &out);
    void advance(RequestLife &exchange, const GrantStep::Advance &advance, Instant now,
                 Outbox &out);
    void dispatch(RequestLife &exchange, Instant now, Outbox &out);
    void runFailed(RequestLife &exchange, const DispatchEnded &ended, Instant now, Outbox &out);
    void tryAgain(RequestLife &exchange, const DispatchEnded &ended, Instant now, Outbox &out);
    void due(RequestLife &exchange, Instant now, Outbox &out);
    void patienceOver(RequestLife &exchange, Instant now, Outbox &out);

    FlowContext m_context;
    ReserveStep m_reserve;
    GrantStep m_grant;
    RunStep m_run;
    ExchangeBook m_book;
    EarlierRun m_earlier;
    InFlightReporter m_inFlight;
    OutputEstimate m_output;
    RetryBudget m_retries;
    std::set<VmId> m_leavingVms;
    bool m_isClosed = false;
};

} // namespace Apricothook
