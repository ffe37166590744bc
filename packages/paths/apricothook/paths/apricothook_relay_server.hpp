#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>
#include <apricothook/paths/apricothook_reach_tester.hpp>
#include <apricothook/paths/apricothook_relay_peers.hpp>
#include <apricothook/paths/apricothook_target_paths.hpp>

#include <list>
#include <memory>

namespace Apricothook {

/** What a relay server needs of its daemon. */
struct RelayServerContext
{
    EventLoop &loop;
    const RelayPeers &peers;
    const TargetTable &targets;
    const TargetPaths &paths;
    LogWriter &log;
    /** Address of this VM to connect from. */
    std::string from;
};

/**
 * Connects other daemons, which have lost their own paths, to targets.
 *
 * It only carries bytes: placement, limits, retries and the request itself are the other daemon's.
 * Connections are taken from daemons of the fleet only, as known by their addresses, and only lead
 * to registered targets, on this daemon's own paths, so no connection passes through two daemons.
 */
class RelayServer
{
public:
    /** Connections to targets that are carried at the same time. */
    static constexpr std::size_t MaximumSessions = 256;
    /** Further connections, which ask for tests or haven't asked for anything yet. */
    static constexpr std::size_t MaximumConnections = 1024;

    RelayServer(RelayServerContext context, RandomSource &random);
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    Result<void, ListenError> listen(const Endpoint &address);
    /** The listening port; zero while not listening. */
    std::uint16_t port() const { return m_listener ? m_listener->port() : 0; }
    /** From now on no connection to a target is opened. */
    void startDraining() { m_isDraining = true; }
    /** Connections to targets that are carried now. */
    std::size_t sessions() const { return m_sessions; }

private:
    class Session;

    void accept(int descriptor);
    void onClosed(Session &session);
    /** The target, if this daemon may connect to it for another one now. */
    Result<TargetEntry, RelayOutcome> targetOf(const RelayRequest &request) const;

    const RelayServerContext m_context;
    ReachTester m_tester;
    std::unique_ptr<Listener> m_listener;
    std::list<std::unique_ptr<Session>> m_connections;
    std::size_t m_sessions = 0;
    bool m_isDraining = false;
};

} // namespace Apricothook
