#include <apricothook/serving/apricothook_simple_http_server.hpp>

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

TEST_CASE("a connection that is destroyed after its server doesn't use the server")
{
    // Guards against a crash at the end of a process, which only its exit status shows. The loop
    // destroys a connection that has just ended after the server is gone.
    ManualClock clock;
    EventLoop loop {clock};
    int requests = 0;
    std::unique_ptr<SimpleHttpServer> server
        = SimpleHttpServer::open(loop, {"127.0.0.1", 0}, [&](const RequestHead &) {
              ++requests;
              return SimpleHttpResponse {200, "text/plain", "x"};
          }).value();
    const int caller = connectTo(server->port());
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(send(caller, request.data(), request.size(), 0)
            == static_cast<ssize_t>(request.size()));
    while (requests == 0)
        loop.runOnce(std::chrono::milliseconds(100));
    close(caller);
    loop.runOnce(std::chrono::milliseconds(100));
    server.reset();
    loop.runOnce(std::chrono::milliseconds(0));
    CHECK(requests == 1);
}
