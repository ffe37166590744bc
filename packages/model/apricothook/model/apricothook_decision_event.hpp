#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <string>

namespace Apricothook {

/**
 * A decision that is logged: its event number (see docs/EVENTS.md), the request it concerns, if
 * any, and details as "name=value" pairs.
 */
struct DecisionEvent
{
    int number = 0;
    RequestKey key;
    std::string details;
};

/** Receives the events that the decision core records. */
class EventSink
{
public:
    virtual ~EventSink() = default;
    virtual void record(const DecisionEvent &event) = 0;
};

} // namespace Apricothook
