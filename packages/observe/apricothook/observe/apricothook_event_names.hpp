#pragma once

#include <string_view>

namespace Apricothook {

enum class EventLevel { Info, Warning, Error };

/** Name and severity of a numbered event, as log lines show them. */
struct EventName
{
    int number;
    std::string_view name;
    EventLevel level;
};

/** Returns null if no package defines the number. */
const EventName *findEventName(int number);

} // namespace Apricothook
