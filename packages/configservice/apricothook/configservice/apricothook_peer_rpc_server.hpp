#pragma once

#include <apricothook/configservice/apricothook_kept_answer_source.hpp>
#include <apricothook/configservice/apricothook_platform_counters.hpp>
#include <apricothook/configservice/apricothook_rpc_seal.hpp>
#include <apricothook/configservice/apricothook_text_shelf.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <memory>

namespace Apricothook {

/** What serving members stands on; all outlive the server and are safe for several threads. */
struct PeerRpcSurroundings
{
    RpcSeal &seal;
    const TextShelf &shelf;
    KeptAnswerSource &answers;
    const Clock &clock;
    EventSink &events;
    PlatformCounters &counters;
};

/**
 * Gives other members texts in pieces and kept answers, over JSON-RPC on the peer address. Calls
 * and replies are sealed with the peers' keys.
 */
class PeerRpcServer
{
public:
    PeerRpcServer(PeerRpcSurroundings surroundings, Endpoint address);
    ~PeerRpcServer();
    PeerRpcServer(const PeerRpcServer &) = delete;
    PeerRpcServer &operator=(const PeerRpcServer &) = delete;

    /** False when the address can't be listened on. */
    bool start();
    void stop();

private:
    class Methods;
    class Listener;

    PeerRpcSurroundings m_surroundings;
    Endpoint m_address;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Apricothook
