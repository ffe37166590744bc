#include <apricothook/testing/apricothook_link_stand_in.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <map>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace Apricothook {

namespace {

constexpr int PollMilliseconds = 10;
constexpr std::size_t BufferBytes = 64UL * 1024;

/** Two connections whose bytes go over to each other. */
struct TcpPair
{
    int near = -1;
    int far = -1;
    bool isSilent = false;
    bool isBroken = false;
};

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

int socketTo(int type, const Endpoint &target)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(target);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

int boundSocket(int type, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf({"127.0.0.1", port});
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        throw std::system_error(errno, std::generic_category(), "link port");
    return socket;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** The sockets of one link; used by its thread alone. */
class LinkSockets
{
public:
    LinkSockets(Endpoint target, int listener, int datagrams)
        : m_target(std::move(target))
        , m_listener(listener)
        , m_datagrams(datagrams)
        , m_buffer(BufferBytes)
    {
    }

    ~LinkSockets()
    {
        closeAll();
        for (const auto &[from, socket] : m_senders)
            ::close(socket);
    }

    void silence()
    {
        for (TcpPair &pair : m_pairs)
            pair.isSilent = true;
    }

    void closeAll()
    {
        for (TcpPair &pair : m_pairs)
            pair.isBroken = true;
        closeBroken();
    }

    void closeBroken()
    {
        for (const TcpPair &pair : m_pairs) {
            if (!pair.isBroken)
                continue;
            ::close(pair.near);
            ::close(pair.far);
        }
        std::erase_if(m_pairs, [](const TcpPair &pair) { return pair.isBroken; });
    }

    /** Waits shortly for traffic; the bytes that went over. */
    std::uint64_t pass(LinkState state, const BlockedSenders &blocked,
                       std::atomic<std::uint64_t> &dropped)
    {
        std::vector<pollfd> polled {{m_listener, POLLIN, 0}, {m_datagrams, POLLIN, 0}};
        for (const auto &[from, socket] : m_senders)
            polled.push_back({socket, POLLIN, 0});
        for (const TcpPair &pair : m_pairs) {
            if (state != LinkState::Open || pair.isSilent)
                continue;
            polled.push_back({pair.near, POLLIN, 0});
            polled.push_back({pair.far, POLLIN, 0});
        }
        ::poll(polled.data(), polled.size(), PollMilliseconds);
        std::uint64_t bytes = 0;
        for (const pollfd &entry : polled) {
            if (entry.revents != 0)
                bytes += handle(entry.fd, state, blocked, dropped);
        }
        closeBroken();
        return bytes;
    }

private:
    std::uint64_t handle(int socket, LinkState state, const BlockedSenders &blocked,
                         std::atomic<std::uint64_t> &dropped)
    {
        if (socket == m_listener) {
            acceptOne(state);
            return 0;
        }
        for (TcpPair &pair : m_pairs) {
            if (pair.near == socket)
                return passStream(pair, pair.near, pair.far);
            if (pair.far == socket)
                return passStream(pair, pair.far, pair.near);
        }
        return passDatagram(socket, state, blocked, dropped);
    }

    void acceptOne(LinkState state)
    {
        const int near = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int far = state == LinkState::Cut ? -1 : socketTo(SOCK_STREAM, m_target);
        if (near < 0 || far < 0) {
            ::close(near);
            ::close(far);
            return;
        }
        const int on = 1;
        ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(far, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_pairs.push_back({near, far, false, false});
    }

    std::uint64_t passStream(TcpPair &pair, int from, int to)
    {
        const ssize_t count = ::recv(from, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return 0;
        if (count <= 0 || ::send(to, m_buffer.data(), count, MSG_NOSIGNAL) != count) {
            pair.isBroken = true;
            return 0;
        }
        return static_cast<std::uint64_t>(count);
    }

    /** From the outside to the target, or an answer back to whom its socket stands for. */
    std::uint64_t passDatagram(int socket, LinkState state, const BlockedSenders &blocked,
                               std::atomic<std::uint64_t> &dropped)
    {
        sockaddr_in from {};
        socklen_t size = sizeof from;
        const ssize_t count = ::recvfrom(socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr *>(&from), &size);
        if (count < 0)
            return 0;
        const bool isBlocked = socket == m_datagrams && blocked.contains(ntohs(from.sin_port));
        if (state != LinkState::Open || isBlocked) {
            ++dropped;
            return 0;
        }
        if (socket == m_datagrams) {
            ::send(senderFor(from), m_buffer.data(), count, MSG_NOSIGNAL);
        } else {
            const sockaddr_in to = m_origins[socket];
            ::sendto(m_datagrams, m_buffer.data(), count, MSG_NOSIGNAL,
                     reinterpret_cast<const sockaddr *>(&to), sizeof to);
        }
        return static_cast<std::uint64_t>(count);
    }

    int senderFor(const sockaddr_in &from)
    {
        const auto known = m_senders.find(from.sin_port);
        if (known != m_senders.end())
            return known->second;
        const int socket = socketTo(SOCK_DGRAM, m_target);
        m_senders[from.sin_port] = socket;
        m_origins[socket] = from;
        return socket;
    }

    Endpoint m_target;
    int m_listener;
    int m_datagrams;
    std::vector<char> m_buffer;
    std::vector<TcpPair> m_pairs;
    std::map<std::uint16_t, int> m_senders;
    std::map<int, sockaddr_in> m_origins;
};

} // namespace

LinkStandIn::LinkStandIn(Endpoint target, std::uint16_t port, std::uint16_t controlPort)
    : m_target(std::move(target)), m_listener(boundSocket(SOCK_STREAM, port))
{
    m_port = portOf(m_listener);
    m_datagrams = boundSocket(SOCK_DGRAM, m_port);
    ::listen(m_listener, SOMAXCONN);
    m_control = std::make_unique<HttpHost>(controlPort, *this);
    m_worker = std::thread([this] { run(); });
}

LinkStandIn::~LinkStandIn()
{
    m_stopping = true;
    m_worker.join();
    m_control.reset();
    ::close(m_listener);
    ::close(m_datagrams);
}

void LinkStandIn::run()
{
    LinkSockets sockets(m_target, m_listener, m_datagrams);
    while (!m_stopping) {
        if (m_silences) {
            sockets.silence();
            m_silences = false;
        }
        if (m_state == LinkState::Cut)
            sockets.closeAll();
        m_forwarded += sockets.pass(m_state, m_blocked, m_dropped);
    }
}

void LinkStandIn::silenceOpen()
{
    m_silences = true;
    while (m_silences)
        std::this_thread::yield();
}

HttpReply LinkStandIn::handle(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    const std::string state = document["state"].asString();
    if (state == "open" || state == "cut" || state == "held")
        setState(state == "open"      ? LinkState::Open
                     : state == "cut" ? LinkState::Cut
                                      : LinkState::Held);
    if (document["silenceOpen"].asBool())
        silenceOpen();
    if (document["blockSenders"].isArray()) {
        std::set<std::uint16_t> ports;
        for (const Json::Value &port : document["blockSenders"])
            ports.insert(static_cast<std::uint16_t>(port.asUInt()));
        blockSenders(std::move(ports));
    }
    Json::Value counts;
    counts["kind"] = "link";
    counts["forwardedBytes"] = Json::UInt64(m_forwarded);
    counts["droppedDatagrams"] = Json::UInt64(m_dropped);
    return jsonReply(counts);
}

} // namespace Apricothook
