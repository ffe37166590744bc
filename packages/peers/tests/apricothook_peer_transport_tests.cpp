#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>
#include <apricothook/peers/apricothook_peer_transport.hpp>
#include <apricothook/peers/internal/apricothook_peer_packer.hpp>
#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>
#include <doctest/doctest.h>

#include <thread>

using namespace Apricothook;

TEST_SUITE_BEGIN("transport");

namespace {

const PeerKeys Keys {{1, "0123456789abcdef"}};
const MemberInstance First {MemberId("entry-1"), Incarnation(1)};
const MemberInstance Second {MemberId("entry-2"), Incarnation(1)};
constexpr Duration Timeout = std::chrono::seconds(5);

class FakeInbox : public CoreInbox
{
public:
    explicit FakeInbox(std::size_t capacity) : m_ring(capacity) { }
    bool tryPost(CoreEvent event) override { return m_ring.tryPush(std::move(event)); }
    void post(CoreEvent event) override { m_ring.tryPush(std::move(event)); }
    std::optional<PeerMessageReceived> take(Duration timeout = Timeout)
    {
        const std::optional<CoreEvent> event = m_ring.pop(timeout);
        if (!event)
            return std::nullopt;
        return std::get<PeerMessageReceived>(*event);
    }

private:
    BoundedQueue<CoreEvent> m_ring;
};

/** An endpoint on the loopback whose port has just been free. */
Endpoint freeEndpoint()
{
    ACE_SOCK_Dgram socket(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    ACE_INET_Addr address;
    socket.get_local_addr(address);
    socket.close();
    return {"127.0.0.1", address.get_port_number()};
}

struct Daemon
{
    explicit Daemon(const MemberInstance &instance, std::size_t capacity = 100)
        : address(freeEndpoint())
        , inbox(capacity)
        , transport(PeerTransport::open(instance, address, Keys, inbox).value())
    {
    }
    Endpoint address;
    FakeInbox inbox;
    std::unique_ptr<PeerTransport> transport;
};

} // namespace

TEST_CASE("Messages to the same member are sent in one datagram")
{
    Daemon first(First);
    Daemon second(Second);
    for (std::uint64_t i = 0; i < 10; ++i)
        first.transport->send(Second.member, second.address, DigestRequest {i});
    first.transport->flush();
    for (std::uint64_t i = 0; i < 10; ++i) {
        const std::optional<PeerMessageReceived> arrived = second.inbox.take();
        REQUIRE(arrived);
        CHECK(arrived->from == First);
        CHECK(arrived->address == first.address);
        CHECK(arrived->message == PeerMessage(DigestRequest {i}));
    }
    const PeerCounters sent = first.transport->counters();
    const PeerCounters received = second.transport->counters();
    CHECK(sent.datagramsSent == 1);
    const std::size_t kind = PeerMessage(DigestRequest {}).index();
    CHECK(sent.sent[kind].messages == 10);
    CHECK(received.received[kind] == sent.sent[kind]);
    CHECK(received.bytesReceived == sent.bytesSent);
}

TEST_CASE("A large message arrives, and one above the limit is counted and not sent")
{
    Daemon first(First);
    Daemon second(Second);
    InFlightReport report;
    report.running.resize(1000);
    first.transport->send(Second.member, second.address, report);
    VmList tooLong;
    tooLong.leaving.assign(4000, VmId(std::string(20, 'v')));
    first.transport->send(Second.member, second.address, tooLong);
    first.transport->flush();
    const std::optional<PeerMessageReceived> arrived = second.inbox.take();
    REQUIRE(arrived);
    CHECK(arrived->message == PeerMessage(report));
    CHECK(first.transport->counters().tooLong == 1);
}

TEST_CASE("Foreign and replayed datagrams and a full inbox are only counted")
{
    // A foreign process sends to the port, a recorded datagram is replayed, and the core is too
    // slow to take all messages. Callers must not be affected: the receiving thread drops and
    // counts these datagrams.
    Daemon daemon(Second, 1);
    ACE_SOCK_Dgram socket(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    const ACE_INET_Addr address(daemon.address.port, "127.0.0.1");
    PeerSealer sealer(First, Keys);
    const std::string good = sealer.seal(Second.member, encode(DigestRequest {1}));
    const std::string last = sealer.seal(Second.member, encode(DigestRequest {2}));
    for (const std::string &bytes : {std::string("stranger without any signature"), good, good,
                                     sealer.seal(Second.member, "not CBOR"), last})
        CHECK(socket.send(bytes.data(), bytes.size(), address) > 0);
    socket.close();
    // The first message fills the inbox, which has room for one, until the last one has arrived.
    constexpr std::uint64_t Sent = 5;
    while (daemon.transport->counters().datagramsReceived < Sent)
        std::this_thread::yield();
    daemon.transport->stop();
    const PeerCounters counters = daemon.transport->counters();
    CHECK(counters.refused[static_cast<std::size_t>(SealError::Malformed)] == 1);
    CHECK(counters.refused[static_cast<std::size_t>(SealError::Replayed)] == 1);
    CHECK(counters.undecodable == 1);
    CHECK(counters.inboxFull == 1);
    CHECK(daemon.inbox.take()->message == PeerMessage(DigestRequest {1}));
}

TEST_CASE("Opening a transport without a key or a usable address returns the reason")
{
    Daemon first(First);
    FakeInbox inbox(1);
    CHECK(PeerTransport::open(Second, first.address, Keys, inbox).error()
          == TransportError::CannotBind);
    CHECK(PeerTransport::open(Second, first.address, {}, inbox).error() == TransportError::NoKey);
    CHECK(PeerTransport::open(Second, {"name", 1}, Keys, inbox).error()
          == TransportError::BadAddress);
}

TEST_CASE("The packer fills shared datagrams and puts large messages into their own")
{
    PeerPacker packer;
    const MemberId to("entry-2");
    const Endpoint address {"10.0.0.2", 7000};
    for (const std::size_t size : {400, 400, 400, 5000, 100})
        packer.add(to, address, std::string(size, 'm'), 1000);
    const std::vector<PackedMessages> packed = packer.take();
    REQUIRE(packed.size() == 4);
    CHECK(packed[0].payload.size() == 800);
    CHECK(packed[1].payload.size() == 400);
    CHECK(packed[2].payload.size() == 5000);
    CHECK(packed[3].payload.size() == 100);
    CHECK(packer.take().empty());
}

TEST_SUITE_END();
