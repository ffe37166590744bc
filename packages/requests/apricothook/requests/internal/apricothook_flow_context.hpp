#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/requests/apricothook_admission_gate.hpp>
#include <apricothook/requests/apricothook_answer_store.hpp>
#include <apricothook/requests/apricothook_configuration_index.hpp>
#include <apricothook/requests/apricothook_due_queue.hpp>
#include <apricothook/requests/apricothook_home_directory.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>
#include <apricothook/requests/apricothook_requests_event.hpp>
#include <apricothook/requests/apricothook_shard_router.hpp>
#include <apricothook/requests/internal/apricothook_outcome_reporter.hpp>

#include <memory>

namespace Apricothook {

/** What the entry's decisions stand on; all of it outlives them. */
struct FlowPorts
{
    const MemberView &members;
    ShardRouter &router;
    HomeDirectory &homes;
    AdmissionGate &gate;
    AnswerStore &answers;
    TargetPort &targets;
    PlatformPort &platform;
    EventSink &events;
    RequestObserver &observer;
};

/** What the steps of all exchanges share. */
struct FlowContext
{
    FlowPorts ports;
    DueQueue<ExchangeId> due;
    OutcomeReporter outcomes;
    /** Null until the first configuration is in force. */
    std::unique_ptr<ConfigurationIndex> index;

    AttemptId attemptOf(const RequestLife &exchange) const
    {
        return {ports.members.self(), exchange.request.exchange, exchange.attempt};
    }
    void record(RequestsEvent event, const RequestLife &exchange, std::string details) const
    {
        ports.events.record({static_cast<int>(event), exchange.key, std::move(details)});
    }
};

} // namespace Apricothook
