// Measures whole processes over loopback. It knows just as much HTTP as it sends and gets itself.
//
//   apricothook-bench-wire serve PORT                  a target: answers at once; /hold answers an
//                                                      event and stays open until /release
//   apricothook-bench-wire call RATE SECONDS CALLERS URL...
//                                                      posts to the URLs in turn; rate 0: as fast
//                                                      as the callers can
//   apricothook-bench-wire hold COUNT SECONDS URL      so many answers open at once
//
// A URL is 127.0.0.1:PORT/PATH[#TOKEN]. Results are one JSON line for each URL.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <iostream>
#include <map>
#include <netinet/tcp.h>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Url
{
    std::uint16_t port = 0;
    std::string path;
    std::string token;
};

Url urlOf(const std::string &text)
{
    const std::size_t colon = text.find(':');
    const std::size_t slash = text.find('/');
    const std::size_t hash = text.find('#');
    Url url;
    url.port = static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1, slash - colon - 1)));
    url.path = text.substr(slash, hash - slash);
    url.token = hash == std::string::npos ? "" : text.substr(hash + 1);
    return url;
}

sockaddr_in addressOf(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setNoDelay(int socket)
{
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = addressOf(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(socket);
        return -1;
    }
    setNoDelay(socket);
    return socket;
}

bool sendAll(int socket, const std::string &bytes)
{
    return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(bytes.size());
}

std::string requestTo(const Url &url)
{
    const std::string body(200, 'x');
    std::string request = "POST " + url.path + " HTTP/1.1\r\nHost: bench\r\n";
    if (!url.token.empty())
        request += "Authorization: Bearer " + url.token + "\r\nApricothook-Class: bench\r\n";
    return request + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The target.

class Target
{
public:
    explicit Target(std::uint16_t port) : m_poll(epoll_create1(0))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const int yes = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const sockaddr_in address = addressOf(port);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            throw std::runtime_error("the port is taken");
        listen(m_listener, 4096);
        watch(m_listener);
    }
    void run()
    {
        std::vector<epoll_event> events(256);
        for (;;) {
            const int count = epoll_wait(m_poll, events.data(), 256, -1);
            for (int i = 0; i < count; ++i) {
                const int socket = events[static_cast<std::size_t>(i)].data.fd;
                if (socket == m_listener)
                    accept();
                else
                    read(socket);
            }
        }
    }

private:
    void watch(int socket) const
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = socket;
        epoll_ctl(m_poll, EPOLL_CTL_ADD, socket, &event);
    }
    void accept()
    {
        for (int socket; (socket = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
            setNoDelay(socket);
            watch(socket);
        }
    }
    void read(int socket)
    {
        char bytes[4096];
        const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            m_partial.erase(socket);
            close(socket);
            return;
        }
        std::string &partial = m_partial[socket];
        partial.append(bytes, static_cast<std::size_t>(size));
        for (std::size_t end; (end = endOf(partial)) > 0;) {
            answer(socket, partial.substr(0, end));
            partial.erase(0, end);
        }
    }
    /** Bytes of the first whole request; 0 when there is none. */
    static std::size_t endOf(const std::string &bytes)
    {
        const std::size_t head = bytes.find("\r\n\r\n");
        if (head == std::string::npos)
            return 0;
        const std::size_t length = bytes.find("Content-Length: ");
        const std::size_t body
            = length < head ? static_cast<std::size_t>(std::stoul(bytes.substr(length + 16))) : 0;
        return bytes.size() >= head + 4 + body ? head + 4 + body : 0;
    }
    void answer(int socket, const std::string &request)
    {
        const std::string line = request.substr(0, request.find('\r'));
        if (line.find("/hold") != std::string::npos) {
            m_held.push_back(socket);
            sendAll(socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nhello\r\n");
            return;
        }
        if (line.find("/release") != std::string::npos) {
            for (const int held : m_held)
                sendAll(held, "0\r\n\r\n");
            m_held.clear();
        }
        sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    int m_poll;
    int m_listener = -1;
    std::map<int, std::string> m_partial;
    std::vector<int> m_held;
};

// ---- Callers.

struct Results
{
    std::vector<double> milliseconds;
    std::size_t failed = 0;
};

/** Reads one answer with a Content-Length or in chunks; false when it isn't a whole 200. */
bool readAnswer(int socket)
{
    std::string answer;
    char bytes[4096];
    for (;;) {
        const std::size_t head = answer.find("\r\n\r\n");
        if (head != std::string::npos) {
            const std::size_t length = answer.find("Content-Length: ");
            const bool isChunked = length > head;
            const bool isWhole = isChunked
                ? answer.ends_with("0\r\n\r\n")
                : answer.size() >= head + 4 + std::stoul(answer.substr(length + 16));
            if (isWhole)
                return answer.starts_with("HTTP/1.1 200");
        }
        const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        answer.append(bytes, static_cast<std::size_t>(size));
    }
}

/** One caller's calls, at times drawn from a seed that is its number. */
void callFor(const std::vector<Url> &urls, double rate, Clock::time_point end, unsigned number,
             std::vector<Results> &results)
{
    std::mt19937_64 random(number);
    std::exponential_distribution<double> gap(rate > 0 ? rate : 1);
    std::vector<int> sockets;
    sockets.reserve(urls.size());
    for (const Url &url : urls)
        sockets.push_back(connectTo(url.port));
    Clock::time_point due = Clock::now();
    for (std::size_t turn = number; Clock::now() < end; ++turn) {
        const std::size_t at = turn % urls.size();
        if (rate > 0) {
            due += std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(gap(random)));
            std::this_thread::sleep_until(due);
        }
        const Clock::time_point begin = Clock::now();
        if (sockets[at] >= 0 && sendAll(sockets[at], requestTo(urls[at]))
            && readAnswer(sockets[at])) {
            results[at].milliseconds.push_back(
                std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
            continue;
        }
        ++results[at].failed;
        close(sockets[at]);
        sockets[at] = connectTo(urls[at].port);
    }
    for (const int socket : sockets)
        close(socket);
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

int call(double rate, double seconds, unsigned callers, const std::vector<Url> &urls)
{
    const Clock::time_point begin = Clock::now();
    const auto end = begin
        + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    std::vector<std::vector<Results>> all(callers, std::vector<Results>(urls.size()));
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < callers; ++number)
        threads.emplace_back(callFor, std::cref(urls), rate / callers, end, number,
                             std::ref(all[number]));
    for (std::thread &thread : threads)
        thread.join();
    const double took = std::chrono::duration<double>(Clock::now() - begin).count();
    for (std::size_t at = 0; at < urls.size(); ++at) {
        Results sum;
        for (const std::vector<Results> &results : all) {
            sum.failed += results[at].failed;
            sum.milliseconds.insert(sum.milliseconds.end(), results[at].milliseconds.begin(),
                                    results[at].milliseconds.end());
        }
        std::sort(sum.milliseconds.begin(), sum.milliseconds.end());
        std::cout << "{\"url\": \"" << urls[at].port << urls[at].path
                  << "\", \"answered\": " << sum.milliseconds.size()
                  << ", \"failed\": " << sum.failed
                  << ", \"perSecond\": " << static_cast<double>(sum.milliseconds.size()) / took
                  << ", \"medianMs\": " << quantile(sum.milliseconds, 0.5)
                  << ", \"p99Ms\": " << quantile(sum.milliseconds, 0.99) << "}" << std::endl;
    }
    return 0;
}

/** Opens the answers one by one, reports how many sent their first bytes, and waits. */
int hold(std::size_t count, double seconds, const Url &url)
{
    std::vector<int> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        const int socket = connectTo(url.port);
        if (socket < 0 || !sendAll(socket, requestTo(url)))
            break;
        sockets.push_back(socket);
    }
    std::size_t open = 0;
    for (const int socket : sockets) {
        const timeval patience {10, 0};
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        char bytes[4096];
        const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
        open += size > 0
            && std::string_view(bytes, static_cast<std::size_t>(size)).starts_with("HTTP/1.1 200");
    }
    std::cout << "{\"open\": " << open << "}" << std::endl;
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    return open == count ? 0 : 1;
}

} // namespace

int main(int count, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    const std::vector<std::string> words(arguments + 1, arguments + count);
    if (words.size() == 2 && words[0] == "serve") {
        Target(static_cast<std::uint16_t>(std::stoi(words[1]))).run();
    } else if (words.size() >= 5 && words[0] == "call") {
        std::vector<Url> urls;
        for (std::size_t i = 4; i < words.size(); ++i)
            urls.push_back(urlOf(words[i]));
        return call(std::stod(words[1]), std::stod(words[2]),
                    static_cast<unsigned>(std::stoul(words[3])), urls);
    } else if (words.size() == 4 && words[0] == "hold") {
        return hold(std::stoul(words[1]), std::stod(words[2]), urlOf(words[3]));
    }
    std::cerr << "the arguments are at the top of the source\n";
    return 2;
}
