#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <string>

namespace Apricothook {

/**
 * One decision worth a line in the log: a number of the catalogue in docs/EVENTS.md, the request it
 * is about (if any) and its details as "name=value" words.
 */
struct DecisionEvent
{
    int number = 0;
    RequestKey key;
    std::string details;
};

/** Where the decision core tells what it decided. */
class EventSink
{
public:
    virtual ~EventSink() = default;
    virtual void record(const DecisionEvent &event) = 0;
};

} // namespace Apricothook
