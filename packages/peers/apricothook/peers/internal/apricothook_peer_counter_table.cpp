#include <apricothook/peers/internal/apricothook_peer_counter_table.hpp>

namespace Apricothook {

PeerCounters PeerCounterTable::snapshot() const
{
    PeerCounters counters;
    for (std::size_t kind = 0; kind < PeerMessageKinds; ++kind) {
        counters.sent[kind] = {sent[kind].messages, sent[kind].bytes};
        counters.received[kind] = {received[kind].messages, received[kind].bytes};
    }
    counters.datagramsSent = datagramsSent;
    counters.bytesSent = bytesSent;
    counters.datagramsReceived = datagramsReceived;
    counters.bytesReceived = bytesReceived;
    counters.tooLong = tooLong;
    counters.sendFailures = sendFailures;
    for (std::size_t error = 0; error < refused.size(); ++error)
        counters.refused[error] = refused[error];
    counters.undecodable = undecodable;
    counters.unknownKinds = unknownKinds;
    counters.inboxFull = inboxFull;
    return counters;
}

} // namespace Apricothook
