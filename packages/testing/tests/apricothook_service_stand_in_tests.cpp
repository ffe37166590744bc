#include "apricothook_stand_in_client.hpp"

#include <apricothook/testing/apricothook_link_stand_in.hpp>
#include <apricothook/testing/apricothook_plain_stand_in.hpp>
#include <apricothook/testing/apricothook_platform_stand_in.hpp>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace Apricothook;
using namespace std::chrono_literals;

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** A bound UDP socket of one member. */
class DatagramPeer
{
public:
    DatagramPeer()
    {
        const sockaddr_in address = loopback(0);
        static_cast<void>(
            ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    }
    DatagramPeer(const DatagramPeer &) = delete;
    DatagramPeer &operator=(const DatagramPeer &) = delete;
    ~DatagramPeer() { ::close(m_socket); }

    std::uint16_t port() const
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        return ntohs(address.sin_port);
    }

    void send(std::uint16_t port, char letter) const
    {
        const sockaddr_in to = loopback(port);
        ::sendto(m_socket, &letter, 1, 0, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }

    /** Waits for the next datagram. */
    char receive() const
    {
        char letter = '-';
        ::recv(m_socket, &letter, 1, 0);
        return letter;
    }

private:
    int m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
};

} // namespace

TEST_SUITE("[plain-stand-in]")
{
    TEST_CASE("A call that ran without an answer is counted as run")
    {
        // The service runs the charge, then the connection closes before the answer. The caller
        // can't know; the count by key is the truth, and shows a second run by a wrong resend.
        PlainStandIn plain({.kills = 1});
        const auto charge = [&plain] {
            return callStandIn(plain.port(), "POST", "/charges", "{}", "Idempotency-Key: k\r\n");
        };
        CHECK(charge().status == 0);
        CHECK(plain.runs("k").runs == 1);
        CHECK(charge().body == expectedPlainAnswer("POST", "/charges", "{}"));
        CHECK(plain.runs("k").runs == 2);
        CHECK(plain.effects() == 2);
    }

    TEST_CASE("A refusal says that the call did not run, and it didn't")
    {
        PlainStandIn plain({.isRefusing = true});
        const ClientAnswer answer
            = callStandIn(plain.port(), "POST", "/tickets", "{}", "Idempotency-Key: k\r\n");
        CHECK(answer.status == 503);
        CHECK(answer.head.find("Service-Not-Run: true") != std::string::npos);
        CHECK(plain.runs("k") == RunCount {0, 0, 0, 1});
    }
}

TEST_SUITE("[platform-stand-in]")
{
    TEST_CASE("A watch answers when a newer revision is published, and is one read")
    {
        PlatformStandIn platform;
        platform.publish("one");
        auto watch = std::async(std::launch::async, [&platform] {
            return callStandIn(platform.port(), "GET", "/v1/config?after=1&wait=30");
        });
        while (platform.counts()["waiting"].asUInt() == 0)
            std::this_thread::yield();
        platform.publish("two");
        CHECK(watch.get().body == R"({"revision":2,"text":"two"})");
        CHECK(platform.reads() == 1);
        CHECK(callStandIn(platform.port(), "GET", "/v1/config?after=2&wait=0").status == 304);
    }

    TEST_CASE("A stale platform answers the old revision, and one that is down nothing")
    {
        PlatformStandIn platform;
        platform.publish("one");
        platform.setFaults({.isStale = true});
        platform.publish("two");
        CHECK(callStandIn(platform.port(), "GET", "/v1/config").body
              == R"({"revision":1,"text":"one"})");
        platform.setFaults({.isDown = true});
        CHECK(callStandIn(platform.port(), "GET", "/v1/config").status == 0);
        platform.setFaults({});
        CHECK(callStandIn(platform.port(), "GET", "/v1/config").body
              == R"({"revision":2,"text":"two"})");
    }
}

TEST_SUITE("[link-stand-in]")
{
    TEST_CASE("A link passes calls when open, none when cut, and none of the open ones in silence")
    {
        // Something between two ends forgets the open connections: they stay open and bring
        // nothing for good, while a new connection through the same link works.
        PlainStandIn plain({.delay = 200ms});
        LinkStandIn link({"127.0.0.1", plain.port()});
        CHECK(callStandIn(link.port(), "GET", "/x").status == 200);
        auto silent = std::async(std::launch::async,
                                 [&link] { return callStandIn(link.port(), "GET", "/silent"); });
        while (plain.sum().runs < 2)
            std::this_thread::yield();
        link.silenceOpen();
        CHECK(callStandIn(link.port(), "GET", "/new").status == 200);
        CHECK(silent.wait_for(300ms) == std::future_status::timeout);
        link.setState(LinkState::Cut);
        CHECK(silent.get().status == 0);
        CHECK(callStandIn(link.port(), "GET", "/x").status == 0);
    }

    TEST_CASE("A link drops the datagrams of blocked senders and passes those of others")
    {
        // A partition: members of the other side can't be heard, those of the own side can. The
        // blocked datagram was sent first, so it would have been received first.
        const DatagramPeer other;
        const DatagramPeer own;
        const DatagramPeer receiver;
        LinkStandIn link({"127.0.0.1", receiver.port()});
        link.blockSenders({other.port()});
        other.send(link.port(), 'a');
        own.send(link.port(), 'b');
        CHECK(receiver.receive() == 'b');
        CHECK(link.droppedDatagrams() == 1);
        link.blockSenders({});
        other.send(link.port(), 'c');
        CHECK(receiver.receive() == 'c');
    }
}
