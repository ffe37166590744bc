/**
 * Opens STREAMS streams on loopback, sends each ROUNDS tokens GAP milliseconds apart, and prints
 * the memory of a connection, the processor time of a token and how late tokens reach the caller.
 *
 * apricothook_streams_benchmark [STREAMS [ROUNDS [GAP]]]
 *
 * The callers are a process of their own, so that their memory, time and descriptors aren't
 * counted with the server's.
 */
#include <apricothook/caller/apricothook_caller_server.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace Apricothook;

namespace {

struct Plan
{
    std::size_t streams = 1000;
    std::size_t rounds = 50;
    std::size_t gapMilliseconds = 44;
};

class SteadyClock : public Clock
{
public:
    Instant now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    std::uint64_t wallMilliseconds() const override { return 0; }
};

class NoSink : public EventSink
{
    void record(const DecisionEvent & /*event*/) override { }
};

class KeepingInbox : public CoreInbox
{
public:
    bool tryPost(CoreEvent event) override
    {
        if (auto *request = std::get_if<CallerRequest>(&event)) {
            const std::lock_guard lock(m_mutex);
            m_answers.push_back(std::move(request->answer));
            m_arrived.notify_one();
        }
        return true;
    }
    void post(CoreEvent event) override { tryPost(std::move(event)); }
    std::vector<std::shared_ptr<AnswerStream>> waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait(lock, [&] { return m_answers.size() >= count; });
        return m_answers;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<std::shared_ptr<AnswerStream>> m_answers;
};

std::int64_t nanosecondsNow()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

double processorSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// ---- Callers.

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        std::perror("connect");
    const std::string request = "GET /v1/services/s/stream HTTP/1.1\r\nHost: a\r\n\r\n";
    if (::send(socket, request.data(), request.size(), MSG_NOSIGNAL) < 0)
        std::perror("send");
    return socket;
}

/** A token is "@" and the nanoseconds at which it was written. */
void readLatencies(std::string_view bytes, std::vector<std::int64_t> &latencies)
{
    const std::int64_t now = nanosecondsNow();
    for (std::size_t at = bytes.find('@'); at != std::string_view::npos;
         at = bytes.find('@', at + 1))
        latencies.push_back(now - std::strtoll(bytes.data() + at + 1, nullptr, 10));
}

void printLatencies(std::vector<std::int64_t> &latencies)
{
    if (latencies.empty())
        return;
    std::ranges::sort(latencies);
    const auto at = [&](double share) {
        return static_cast<double>(latencies[static_cast<std::size_t>(
                   share * static_cast<double>(latencies.size() - 1))])
            / 1e3;
    };
    std::printf("tokens %zu, late by us: p50 %.0f p95 %.0f p99 %.0f max %.0f\n", latencies.size(),
                at(0.5), at(0.95), at(0.99), at(1));
}

void runCallers(std::uint16_t port, const Plan &plan)
{
    const int epoll = ::epoll_create1(0);
    for (std::size_t stream = 0; stream < plan.streams; ++stream) {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = connectTo(port);
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, event.data.fd, &event);
    }
    std::vector<std::int64_t> latencies;
    std::size_t ended = 0;
    std::array<epoll_event, 256> events {};
    std::array<char, 16384> bytes {};
    while (ended < plan.streams) {
        const int count = ::epoll_wait(epoll, events.data(), events.size(), 10'000);
        if (count <= 0)
            break;
        for (int at = 0; at < count; ++at) {
            const ssize_t size = ::recv(events[at].data.fd, bytes.data(), bytes.size() - 1, 0);
            if (size <= 0) {
                ::close(events[at].data.fd);
                ++ended;
                continue;
            }
            bytes[static_cast<std::size_t>(size)] = '\0';
            readLatencies({bytes.data(), static_cast<std::size_t>(size)}, latencies);
        }
    }
    printLatencies(latencies);
}

// ---- Server.

void sendTokens(const std::vector<std::shared_ptr<AnswerStream>> &answers, const Plan &plan)
{
    const auto start = std::chrono::steady_clock::now();
    const auto gap = std::chrono::milliseconds(plan.gapMilliseconds);
    const std::size_t tokens = plan.rounds * answers.size();
    for (std::size_t token = 0; token < tokens; ++token) {
        const auto due = start + gap * token / answers.size();
        if (due > std::chrono::steady_clock::now())
            std::this_thread::sleep_until(due);
        answers[token % answers.size()]->append("data: {\"token\":\"@"
                                                + std::to_string(nanosecondsNow()) + "\"}\n\n");
    }
}

void serve(CallerServer &server, KeepingInbox &inbox, const Plan &plan, std::size_t before)
{
    const auto answers = inbox.waitFor(plan.streams);
    for (const auto &answer : answers)
        answer->begin(AnswerHead {200, {{"Content-Type", "text/event-stream"}}});
    const double processorBefore = processorSeconds();
    const auto start = std::chrono::steady_clock::now();
    sendTokens(answers, plan);
    const double took
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const double processor = processorSeconds() - processorBefore;
    const auto tokens = static_cast<double>(plan.rounds * plan.streams);
    std::printf(
        "streams %zu, bytes a stream %.0f, tokens a second %.0f, processor us a token %.2f, "
        "share of a core %.3f\n",
        plan.streams,
        static_cast<double>(residentBytes() - before) / static_cast<double>(plan.streams),
        tokens / took, processor * 1e6 / tokens, processor / took);
    server.stop();
}

} // namespace

int main(int argc, char **argv)
{
    Plan plan;
    plan.streams = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : plan.streams;
    plan.rounds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : plan.rounds;
    plan.gapMilliseconds = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : plan.gapMilliseconds;

    std::array<int, 2> ports {};
    if (::pipe(ports.data()) != 0)
        return 1;
    const pid_t callers = ::fork();
    if (callers == 0) {
        std::uint16_t port = 0;
        if (::read(ports[0], &port, sizeof port) == sizeof port)
            runCallers(port, plan);
        return 0;
    }
    const SteadyClock clock;
    NoSink sink;
    KeepingInbox inbox;
    CallerServer server(Endpoint {"127.0.0.1", 0}, {}, clock, inbox, sink);
    const auto port = server.start();
    if (!port)
        return 1;
    const std::size_t before = residentBytes();
    const std::uint16_t number = port.value();
    if (::write(ports[1], &number, sizeof number) != sizeof number)
        return 1;
    serve(server, inbox, plan, before);
    ::waitpid(callers, nullptr, 0);
    return 0;
}
