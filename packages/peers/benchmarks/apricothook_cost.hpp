#pragma once

#include <cstddef>

namespace Apricothook {

/** Processor time of this process, both ends of the exchange included, in microseconds. */
double processorMicroseconds();

/** One exchange of a GrantRequest and its reply, both ends together. */
struct ExchangeCost
{
    double microseconds = 0;
    std::size_t requestBytes = 0;
    std::size_t replyBytes = 0;
};

/** By libjsonrpccpp over HTTP on the loopback; bytes are of the TCP streams. */
ExchangeCost jsonRpcCost(int calls);

} // namespace Apricothook
