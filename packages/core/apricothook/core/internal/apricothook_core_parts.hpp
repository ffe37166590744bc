#pragma once

#include <apricothook/configuration/apricothook_configuration_keeper.hpp>
#include <apricothook/configuration/apricothook_engine_orders.hpp>
#include <apricothook/core/apricothook_core_ports_set.hpp>
#include <apricothook/core/apricothook_explain_log.hpp>
#include <apricothook/core/internal/apricothook_entry_answers.hpp>
#include <apricothook/core/internal/apricothook_entry_gate.hpp>
#include <apricothook/core/internal/apricothook_entry_homes.hpp>
#include <apricothook/core/internal/apricothook_entry_router.hpp>
#include <apricothook/homes/apricothook_key_home.hpp>
#include <apricothook/homes/apricothook_run_hints.hpp>
#include <apricothook/membership/apricothook_lookup.hpp>
#include <apricothook/membership/apricothook_membership.hpp>
#include <apricothook/requests/apricothook_request_flow.hpp>

namespace Apricothook {

/** The state machines of one daemon, in the order in which they stand on each other. */
struct CoreParts
{
    CoreParts(const CoreIdentity &identity, const CorePortsSet &ports, Instant start);

    CoreIdentity identity;
    CorePortsSet ports;
    ExplainLog events;
    Membership members;
    Lookup lookup;
    ConfigurationKeeper keeper;
    EngineOrders orders;
    Steward steward;
    TicketIssuer issuer;
    HomeMap homeMap;
    KeyHome keyHome;
    RunHints hints;
    AnswerKeeper keptAnswers;
    SuspectList suspects;
    CustomerLimits limits;
    EntryRouter router;
    EntryHomes homes;
    EntryGate gate;
    EntryAnswers answers;
    RequestFlow flow;
};

} // namespace Apricothook
