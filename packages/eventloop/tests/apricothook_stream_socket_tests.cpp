#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <string>

using namespace Apricothook;

namespace {

/** Records how its connection ended. */
class RecordingEvents : public StreamSocketEvents
{
public:
    void onData(std::string_view bytes) override { received.append(bytes); }
    void onEnd(CloseReason reason) override { end = reason; }

    std::string received;
    std::optional<CloseReason> end;
};

/** Two ends of a connection; `accepted` is the descriptor of one of them. */
struct ConnectedPair
{
    ConnectedPair()
    {
        listener = Listener::open(loop, {"127.0.0.1", 0}, [this](int descriptor) {
                       accepted = descriptor;
                   }).value();
        other.emplace(loop, otherEvents, Endpoint {"127.0.0.1", listener->port()});
        for (int i = 0; i < 100 && accepted < 0; ++i)
            loop.runOnce(std::chrono::milliseconds(1));
        REQUIRE(accepted >= 0);
    }
    void runPendingEvents()
    {
        for (int i = 0; i < 20; ++i)
            loop.runOnce(std::chrono::milliseconds(1));
    }

    ManualClock clock;
    EventLoop loop {clock};
    std::unique_ptr<Listener> listener;
    RecordingEvents events;
    RecordingEvents otherEvents;
    std::optional<StreamSocket> other;
    int accepted = -1;
};

int userTimeoutOf(int descriptor)
{
    int value = -1;
    socklen_t size = sizeof value;
    REQUIRE(getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &size) == 0);
    return value;
}

} // namespace

TEST_CASE("a connection whose peer may read slowly isn't ended for want of acknowledgements")
{
    // The kernel ends a connection with that timeout though its peer lives and only doesn't read.
    ConnectedPair pair;
    const StreamSocket socket(pair.loop, pair.events, pair.accepted, UnreadBytes::AreKept);
    CHECK(userTimeoutOf(pair.accepted) == 0);
}

TEST_CASE("a connection ends if its peer acknowledges nothing for longer than a sound one")
{
    ConnectedPair pair;
    const StreamSocket socket(pair.loop, pair.events, pair.accepted);
    CHECK(userTimeoutOf(pair.accepted) == StreamSocket::DeadPeerTimeout.count());
}

TEST_CASE("a reset and an orderly end of a connection are told apart")
{
    ConnectedPair closed;
    const StreamSocket first(closed.loop, closed.events, closed.accepted);
    closed.other->close();
    closed.runPendingEvents();
    CHECK(closed.events.end == CloseReason::PeerClosed);
    ConnectedPair reset;
    const StreamSocket second(reset.loop, reset.events, reset.accepted);
    reset.other->abort();
    reset.runPendingEvents();
    CHECK(reset.events.end == CloseReason::Reset);
}

TEST_CASE("a connection that is reset with bytes unsent isn't taken for closed in order")
{
    // The kernel tells the error to a send only; a response without a length would look complete.
    ConnectedPair pair;
    StreamSocket socket(pair.loop, pair.events, pair.accepted);
    pair.other->setReading(false);
    const std::string bytes(1 << 20, 'x');
    for (int i = 0; i < 16; ++i)
        socket.send(bytes);
    pair.runPendingEvents();
    REQUIRE(socket.unsentBytes() > 0);
    pair.other->abort();
    pair.runPendingEvents();
    CHECK(pair.events.end == CloseReason::Reset);
    CHECK(socket.unsentBytes() > 0);
}

TEST_CASE("the buffer for a peer that reads steadily but slowly doesn't grow with what was sent")
{
    // Guards against streams whose sent bytes are kept as long as there are always some to send.
    ConnectedPair pair;
    StreamSocket socket(pair.loop, pair.events, pair.accepted, UnreadBytes::AreKept);
    pair.other->setReading(false);
    const std::string piece(65536, 'x');
    while (socket.unsentBytes() == 0)
        socket.send(piece);
    for (int i = 0; i < 300; ++i) {
        pair.other->setReading(true);
        while (socket.unsentBytes() > 2 * piece.size())
            pair.loop.runOnce(std::chrono::milliseconds(1));
        pair.other->setReading(false);
        socket.send(piece);
    }
    CHECK(socket.heldBytes() < 32 * piece.size());
}

TEST_CASE("shared bytes are sent after those before and ahead of those after them")
{
    // Guards against the parts of a request that overtake each other on a slow connection.
    ConnectedPair pair;
    StreamSocket socket(pair.loop, pair.events, pair.accepted);
    const auto shared = std::make_shared<const std::string>(8'000'000, 's');
    socket.send("before");
    socket.send(shared);
    socket.send("after");
    REQUIRE(socket.unsentBytes() > 0);
    for (int i = 0; i < 5000 && pair.otherEvents.received.size() < shared->size() + 11; ++i)
        pair.loop.runOnce(std::chrono::milliseconds(1));
    const bool isInOrder = pair.otherEvents.received == "before" + *shared + "after";
    CHECK(isInOrder);
    CHECK(shared.use_count() == 1);
}
