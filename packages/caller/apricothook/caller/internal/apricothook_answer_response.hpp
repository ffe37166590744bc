#pragma once

#include <apricothook/caller/internal/apricothook_exchange.hpp>

#include <microhttpd.h>

#include <memory>

namespace Apricothook {

/** Queues a problem document. */
MHD_Result sendRefusal(MHD_Connection *connection, const Exchange &exchange,
                       const Refusal &refusal);

/**
 * Queues the answer of the exchange, whose head or refusal must be there. The body is sent as it
 * comes; the connection is suspended in between.
 */
MHD_Result sendAnswer(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange);

} // namespace Apricothook
