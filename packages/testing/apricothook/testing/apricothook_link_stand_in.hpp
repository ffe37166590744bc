#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/testing/apricothook_http_host.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace Apricothook {

enum class LinkState {
    Open,
    Cut,  ///< New connections are closed, open ones too; datagrams are dropped.
    Held, ///< Connections stay open and nothing passes; datagrams are dropped.
};

/** Ports whose datagrams a link drops; may change while the link passes others. */
class BlockedSenders
{
public:
    void set(std::set<std::uint16_t> ports)
    {
        const std::lock_guard lock(m_mutex);
        m_ports = std::move(ports);
    }
    bool contains(std::uint16_t port) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ports.contains(port);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::uint16_t> m_ports;
};

/** A way between two processes on loopback, TCP and UDP, that can be cut or fall silent. */
class LinkStandIn : public HttpHandler
{
public:
    /** Forwards `port` (0: a free one) to the target, both TCP and UDP. */
    LinkStandIn(Endpoint target, std::uint16_t port = 0, std::uint16_t controlPort = 0);
    ~LinkStandIn() override;

    std::uint16_t port() const { return m_port; }
    std::uint16_t controlPort() const { return m_control->port(); }
    void setState(LinkState state) { m_state = state; }
    /** Connections that are open now never pass a byte again; new ones work. Returns when done. */
    void silenceOpen();
    /**
     * Datagrams from these ports are dropped. With a link before each daemon, two groups that
     * block each other's ports are in a partition, and each group goes on among itself.
     */
    void blockSenders(std::set<std::uint16_t> ports) { m_blocked.set(std::move(ports)); }
    std::uint64_t forwardedBytes() const { return m_forwarded; }
    std::uint64_t droppedDatagrams() const { return m_dropped; }

private:
    HttpReply handle(const HttpRequest &request) override;
    void run();

    Endpoint m_target;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    int m_datagrams = -1;
    std::atomic<LinkState> m_state = LinkState::Open;
    std::atomic<bool> m_silences = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint64_t> m_forwarded = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    BlockedSenders m_blocked;
    std::unique_ptr<HttpHost> m_control;
    std::thread m_worker;
};

} // namespace Apricothook
