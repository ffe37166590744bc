#pragma once

#include <cstddef>

namespace Apricothook {

/** Processor time used by this process, which runs both ends of the exchange. */
double processorMicroseconds();

/** Cost of one exchange of a GrantRequest and its reply, for both ends together. */
struct ExchangeCost
{
    double microseconds = 0;
    std::size_t requestBytes = 0;
    std::size_t replyBytes = 0;
};

/** Measures libjsonrpccpp over HTTP on the loopback. Byte counts are of the TCP streams. */
ExchangeCost jsonRpcCost(int calls);

} // namespace Apricothook
