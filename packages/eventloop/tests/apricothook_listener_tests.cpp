#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <optional>

using namespace Apricothook;

namespace {

/** Lets the process open no further descriptors while it lives. */
class NoDescriptors
{
public:
    NoDescriptors()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &m_before) == 0);
        const int next = dup(STDOUT_FILENO);
        REQUIRE(next >= 0);
        close(next);
        rlimit lowered = m_before;
        lowered.rlim_cur = static_cast<rlim_t>(next);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit m_before {};
};

class IgnoredEvents : public StreamSocketEvents
{
public:
    void onData(std::string_view) override { }
    void onEnd(CloseReason) override { }
};

} // namespace

TEST_CASE("a connection for which there is no descriptor waits without taking the processor")
{
    // The loop would accept in vain again and again, and all responses would be late.
    ManualClock clock;
    EventLoop loop(clock);
    int accepted = -1;
    int failures = 0;
    const std::unique_ptr<Listener> listener
        = Listener::open(
              loop, {"127.0.0.1", 0}, [&accepted](int descriptor) { accepted = descriptor; },
              [&failures](int error) {
                  CHECK(error == EMFILE);
                  ++failures;
              })
              .value();
    IgnoredEvents events;
    const StreamSocket caller(loop, events, Endpoint {"127.0.0.1", listener->port()});
    {
        const NoDescriptors none;
        for (int i = 0; i < 20; ++i)
            loop.runOnce(std::chrono::milliseconds(1));
        CHECK(failures == 1);
        CHECK(accepted < 0);
    }
    clock.advance(Listener::ExhaustionPause);
    for (int i = 0; i < 20 && accepted < 0; ++i)
        loop.runOnce(std::chrono::milliseconds(1));
    REQUIRE(accepted >= 0);
    close(accepted);
}
