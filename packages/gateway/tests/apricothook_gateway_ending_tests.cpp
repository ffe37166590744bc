#include <apricothook_gateway_fixture.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

using namespace Apricothook;

namespace {

/** Larger than what the kernel takes for a caller that reads nothing, and buffered as a whole. */
constexpr std::size_t LargeBody = 1'000'000;

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

/** Answers the caller's request with a large body, of which the caller reads nothing. */
RecordingConnection &answerUnread(GatewayFixture &fixture)
{
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    REQUIRE(fixture.waitForTarget());
    caller.socket.setReading(false);
    fixture.target(0).connection(0).socket.send(signedResponse("a", std::string(LargeBody, 'x')));
    REQUIRE(fixture.runUntil([&] { return fixture.gateway.openRequests() == 0; }));
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

bool hasWholeBody(const RecordingConnection &caller)
{
    return caller.received.size() > LargeBody
        && caller.received.ends_with(std::string(LargeBody, 'x'));
}

} // namespace

TEST_CASE("a caller that stops reading gets the rest of its last response")
{
    // The connection would be closed a second after the response was written, with its rest unsent.
    GatewayFixture fixture;
    fixture.gateway.startDraining();
    RecordingConnection &caller = answerUnread(fixture);
    advanceInSteps(fixture, std::chrono::seconds(2));
    caller.socket.setReading(true);
    fixture.runUntil([&] { return hasWholeBody(caller) || caller.end; });
    CHECK(hasWholeBody(caller));
}

TEST_CASE("a connection isn't idle while its response is still to be sent")
{
    // The idle timeout would close it in the middle of the response.
    GatewayFixture fixture;
    RecordingConnection &caller = answerUnread(fixture);
    advanceInSteps(fixture, std::chrono::seconds(16));
    caller.socket.setReading(true);
    fixture.runUntil([&] { return hasWholeBody(caller) || caller.end; });
    CHECK(hasWholeBody(caller));
}

TEST_CASE("requests on connections that wait when a daemon stops listening are rejected as not run")
{
    // Closing the listener resets what the kernel has accepted; the callers would hear nothing.
    GatewayFixture fixture;
    std::vector<std::unique_ptr<WaitingConnection>> waiting;
    for (int i = 0; i < 5; ++i)
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
