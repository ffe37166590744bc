#pragma once

#include <apricothook/requests/internal/apricothook_inquiry_step.hpp>

namespace Apricothook {

/** Writes the JSON state document of GET /v1/requests/KEY: {"key": ..., "state": ...}. */
void writeStateDocument(const RequestKey &callerKey, InquiryStep::Progress progress,
                        AnswerStream &stream);

} // namespace Apricothook
