#include <apricothook_gateway_fixture.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <vector>

using namespace Apricothook;

namespace {

/** Buffered as a whole; together more than the kernel takes for a caller that reads nothing. */
constexpr std::size_t LargeBody = 1'000'000;
constexpr std::size_t LargeBodies = 16;

/** A caller's connection that the kernel has accepted and the daemon hasn't. */
class WaitingConnection
{
public:
    WaitingConnection(std::uint16_t port, const std::string &request)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const std::optional<sockaddr_storage> to = socketAddressOf({"127.0.0.1", port});
        REQUIRE(connect(m_descriptor, reinterpret_cast<const sockaddr *>(&*to), sizeof(sockaddr_in))
                == 0);
        REQUIRE(send(m_descriptor, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size()));
    }
    ~WaitingConnection() { close(m_descriptor); }
    WaitingConnection(const WaitingConnection &) = delete;
    WaitingConnection &operator=(const WaitingConnection &) = delete;

    /** Reads what has arrived; empty if nothing has or the connection was reset. */
    std::string received() const
    {
        std::string buffer(4096, '\0');
        const ssize_t got = recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        buffer.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return buffer;
    }

private:
    const int m_descriptor;
};

/** Serves requests on a connection whatever is left unread of the responses before them. */
CallerResources unlimitedResponses()
{
    CallerResources limits = callerResources({});
    limits.unsentBytes = 2 * LargeBodies * LargeBody;
    return limits;
}

/** Answers requests on one connection, whose caller reads nothing. `beforeLast` runs before the
 * last response. */
RecordingConnection &answerUnread(GatewayFixture &fixture, const std::function<void()> &beforeLast)
{
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    caller.socket.setReading(false);
    for (std::size_t i = 0; i < LargeBodies; ++i) {
        const std::string id = "r" + std::to_string(i);
        caller.socket.send(GatewayFixture::request("once", id));
        REQUIRE(fixture.waitForTarget(i + 1));
        if (i + 1 == LargeBodies)
            beforeLast();
        fixture.target(0).connection(0).socket.send(
            signedResponse(id, std::string(LargeBody, 'x')));
        REQUIRE(fixture.runUntil([&] { return fixture.gateway.openRequests() == 0; }));
    }
    return caller;
}

void advanceInSteps(GatewayFixture &fixture, std::chrono::milliseconds time)
{
    constexpr std::chrono::milliseconds Step {500};
    for (std::chrono::milliseconds passed {0}; passed < time; passed += Step) {
        fixture.clock.advance(Step);
        fixture.loop.runOnce(std::chrono::milliseconds(0));
    }
}

bool hasAllBodies(const RecordingConnection &caller)
{
    return caller.received.size() > LargeBodies * LargeBody
        && caller.received.ends_with(std::string(LargeBody, 'x'));
}

} // namespace

TEST_CASE("a caller that stops reading gets the rest of its last response")
{
    // The connection would be closed a second after the response was written, with its rest unsent.
    GatewayFixture fixture(1, unlimitedResponses());
    RecordingConnection &caller
        = answerUnread(fixture, [&fixture] { fixture.gateway.startDraining(); });
    advanceInSteps(fixture, std::chrono::seconds(2));
    caller.socket.setReading(true);
    fixture.runUntil([&] { return hasAllBodies(caller) || caller.end; });
    CHECK(hasAllBodies(caller));
}

TEST_CASE("a connection isn't idle while its response is still to be sent")
{
    // The idle timeout would close it in the middle of the response.
    GatewayFixture fixture(1, unlimitedResponses());
    RecordingConnection &caller = answerUnread(fixture, [] {});
    advanceInSteps(fixture, std::chrono::seconds(14));
    caller.socket.setReading(true);
    fixture.runUntil([&] { return caller.received.size() > LargeBodies / 2 * LargeBody; });
    caller.socket.setReading(false);
    advanceInSteps(fixture, std::chrono::seconds(4));
    caller.socket.setReading(true);
    fixture.runUntil([&] { return hasAllBodies(caller) || caller.end; });
    CHECK(hasAllBodies(caller));
}

TEST_CASE("a connection whose caller reads nothing for the idle timeout is closed")
{
    GatewayFixture fixture(1, unlimitedResponses());
    answerUnread(fixture, [] {});
    advanceInSteps(fixture, std::chrono::seconds(31));
    CHECK(fixture.runUntil([&] { return fixture.gateway.callerConnections() == 0; }));
}

TEST_CASE("requests on connections that wait when a daemon stops listening are rejected as not run")
{
    // Closing the listener resets what the kernel has accepted; the callers would hear nothing.
    GatewayFixture fixture;
    constexpr std::size_t Count = 5;
    std::vector<std::unique_ptr<WaitingConnection>> waiting;
    waiting.reserve(Count);
    for (std::size_t i = 0; i < Count; ++i)
        waiting.push_back(std::make_unique<WaitingConnection>(
            fixture.gateway.port(), GatewayFixture::request("once", "w" + std::to_string(i))));
    fixture.gateway.startDraining();
    fixture.gateway.refuseNewRequests();
    fixture.gateway.stopListening();
    fixture.runPendingEvents();
    for (const std::unique_ptr<WaitingConnection> &each : waiting)
        CHECK(each->received().starts_with("HTTP/1.1 503"));
    CHECK(fixture.target(0).requests() == 0);
}
