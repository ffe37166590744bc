#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Apricothook;

namespace {

int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    return descriptor;
}

} // namespace

TEST_CASE("a server that ends together with a connection leaves nothing that uses it")
{
    // Nobody sees the crash at the end of a process but its exit status. A connection that has
    // just ended is destroyed by the loop, after the server.
    ManualClock clock;
    EventLoop loop {clock};
    int asked = 0;
    std::unique_ptr<SmallHttpServer> server
        = SmallHttpServer::open(loop, {"127.0.0.1", 0}, [&](const RequestHead &) {
              ++asked;
              return SmallAnswer {200, "text/plain", "x"};
          }).value();
    const int caller = connectTo(server->port());
    const std::string_view question = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(send(caller, question.data(), question.size(), 0)
            == static_cast<ssize_t>(question.size()));
    while (asked == 0)
        loop.runOnce(std::chrono::milliseconds(100));
    close(caller);
    loop.runOnce(std::chrono::milliseconds(100));
    server.reset();
    loop.runOnce(std::chrono::milliseconds(0));
    CHECK(asked == 1);
}
