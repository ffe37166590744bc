#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <string>

namespace Apricothook {

/** Without headers that belong to one connection or to the engine protocol. */
AnswerHead endToEnd(const AnswerHead &head);

/** Whether the target's protocol says that the request did not run. */
bool isProvenNotRun(const AnswerHead &head, ServiceKind kind);

/** Whether the body is an event stream, which its last event ends. */
bool isEventStream(const AnswerHead &head);

} // namespace Apricothook
