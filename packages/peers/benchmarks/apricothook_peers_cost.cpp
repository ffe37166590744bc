#include "apricothook_cost.hpp"

#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>
#include <apricothook/peers/apricothook_peer_transport.hpp>
#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <sys/resource.h>

#include <cstdio>

namespace Apricothook {

double processorMicroseconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

namespace {

const PeerKeys Keys {{1, "0123456789abcdef0123456789abcdef"}};
const MemberInstance First {MemberId("entry-017"), Incarnation(1'700'000'000'123)};
const MemberInstance Second {MemberId("entry-018"), Incarnation(1'700'000'000'456)};
constexpr std::size_t DatagramHeaders = 28;

AttemptId attempt()
{
    return {First, ExchangeId(123'456), 1};
}

GrantRequest grantRequest()
{
    GrantRequest request;
    request.attempt = attempt();
    request.key = RequestKey("t1.entry-017.18bcfe56a7b.0123456789abcdef.f3a9c1d2");
    request.customer = CustomerId("customer-42");
    request.fingerprint = Fingerprint(0x123456789abcdef0);
    request.target = TargetId("runner-117");
    request.generation = Generation(48'213);
    return request;
}

GrantReply grantReply(const GrantRequest &request)
{
    GrantReply reply;
    reply.attempt = request.attempt;
    reply.key = request.key;
    reply.holder = request.attempt.entry;
    reply.generation = request.generation;
    reply.target = request.target;
    return reply;
}

ShardId shard()
{
    return {ServiceId("handover-summary"), RegionId("north-taiwan"), 3};
}

ReserveRequest reserveRequest(std::size_t prefixes)
{
    ReserveRequest request;
    request.attempt = attempt();
    request.shard = shard();
    request.customer = CustomerId("customer-42");
    request.model = ModelId("large-chat-70b");
    request.promptTokens = 24'000;
    request.outputTokens = 600;
    request.patienceLeft = std::chrono::seconds(29);
    for (std::size_t i = 0; i < prefixes; ++i)
        request.prefixes.emplace_back(0x9e3779b97f4a7c15 * (i + 1));
    return request;
}

Release release()
{
    Release message;
    message.attempt = attempt();
    message.shard = shard();
    message.target = TargetId("runner-117");
    message.promptTokens = 24'000;
    message.outputTokens = 600;
    message.firstByte = std::chrono::milliseconds(420);
    message.streaming = std::chrono::seconds(21);
    return message;
}

Probe probe(std::size_t updates)
{
    MemberUpdate update;
    update.instance = First;
    update.peerAddress = {"10.1.2.3", 7000};
    update.callerAddress = {"10.1.2.3", 8080};
    update.dataCentre = DataCentreId("taipei-2");
    update.region = RegionId("north-taiwan");
    update.load = 14;
    Probe message {123'456, Second.member, {Generation(48'213), 0x9e3779b97f4a7c15, 3312}, {}};
    message.updates.assign(updates, update);
    return message;
}

void printMessage(const char *name, const PeerMessage &message)
{
    constexpr int Rounds = 20'000;
    PeerSealer sealer(First, Keys);
    PeerOpener opener(Second.member, Keys);
    std::size_t decoded = 0;
    const double begin = processorMicroseconds();
    for (int i = 0; i < Rounds; ++i) {
        const std::string datagram = sealer.seal(Second.member, encode(message));
        decoded += decodeAll(opener.open(datagram).value().payload).value().messages.size();
    }
    const double micros = (processorMicroseconds() - begin) / Rounds;
    const std::size_t bytes = encode(message).size();
    const std::size_t sealed = sealer.seal(Second.member, encode(message)).size();
    std::printf("%-28s %5zu B encoded %5zu B sealed %5zu B with IP and UDP %6.2f us%s\n", name,
                bytes, sealed, sealed + DatagramHeaders, micros,
                decoded == Rounds ? "" : " (not decoded)");
}

class RingInbox : public CoreInbox
{
public:
    bool tryPost(CoreEvent event) override { return m_ring.tryPush(std::move(event)); }
    void post(CoreEvent event) override { m_ring.tryPush(std::move(event)); }
    PeerMessageReceived take()
    {
        return std::get<PeerMessageReceived>(*m_ring.pop(std::chrono::seconds(5)));
    }

private:
    BoundedQueue<CoreEvent> m_ring {64};
};

/** Measures both ends with their sockets, threads and queues. */
ExchangeCost messageCost(int exchanges)
{
    const Endpoint firstAddress {"127.0.0.1", 18'473};
    const Endpoint secondAddress {"127.0.0.1", 18'474};
    RingInbox firstInbox;
    RingInbox secondInbox;
    const auto first = PeerTransport::open(First, firstAddress, Keys, firstInbox);
    const auto second = PeerTransport::open(Second, secondAddress, Keys, secondInbox);
    const double begin = processorMicroseconds();
    for (int i = 0; i < exchanges; ++i) {
        first.value()->send(Second.member, secondAddress, grantRequest());
        first.value()->flush();
        const PeerMessageReceived received = secondInbox.take();
        second.value()->send(First.member, firstAddress,
                             grantReply(std::get<GrantRequest>(received.message)));
        second.value()->flush();
        firstInbox.take();
    }
    const double micros = (processorMicroseconds() - begin) / exchanges;
    const auto perDatagram
        = [](const PeerCounters &counters) { return counters.bytesSent / counters.datagramsSent; };
    return {micros, perDatagram(first.value()->counters()),
            perDatagram(second.value()->counters())};
}

void printExchange(const char *name, const ExchangeCost &cost)
{
    std::printf("%-28s %5zu B request %5zu B reply %8.1f us of processor, both ends\n", name,
                cost.requestBytes, cost.replyBytes, cost.microseconds);
}

} // namespace
} // namespace Apricothook

int main()
{
    using namespace Apricothook;
    printMessage("GrantRequest", grantRequest());
    printMessage("GrantReply", grantReply(grantRequest()));
    printMessage("ReserveRequest", reserveRequest(0));
    printMessage("ReserveRequest, 16 prefixes", reserveRequest(MaximumPrefixes));
    printMessage("Release", release());
    printMessage("Probe, itself", probe(1));
    printMessage("Probe, full updates", probe(15));
    constexpr int Exchanges = 3000;
    for (int round = 0; round < 3; ++round) {
        printExchange("UDP, sealed CBOR", messageCost(Exchanges));
        printExchange("libjsonrpccpp over HTTP", jsonRpcCost(Exchanges));
    }
    return 0;
}
