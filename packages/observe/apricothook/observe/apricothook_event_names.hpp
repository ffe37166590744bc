#pragma once

#include <string_view>

namespace Apricothook {

enum class EventLevel { Info, Warning, Error };

/** What the log needs to know of a numbered event. */
struct EventName
{
    int number;
    std::string_view name;
    EventLevel level;
};

/** Null for a number that no package defines. */
const EventName *findEventName(int number);

} // namespace Apricothook
