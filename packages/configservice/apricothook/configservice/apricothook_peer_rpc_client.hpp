#pragma once

#include <apricothook/configservice/apricothook_platform_counters.hpp>
#include <apricothook/configservice/apricothook_rpc_seal.hpp>
#include <apricothook/configservice/apricothook_text_shelf.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

enum class RpcError {
    NoAnswer,     ///< Nothing came within the time, or not JSON-RPC.
    Refused,      ///< The member refused the call's seal.
    BadSignature, ///< The reply isn't from a member with a peer key, or not to this call.
    Malformed,
    NotThere,  ///< The member doesn't have that text any more.
    WrongText, ///< The pieces don't make up the text of that hash.
};

std::string_view nameOf(RpcError error);

/** Calls other members. One per thread; the seal, the counters and the stop flag are shared. */
class PeerRpcClient
{
public:
    PeerRpcClient(const RpcSeal &seal, const Clock &clock, PlatformCounters &counters,
                  const std::atomic<bool> &stop);

    /**
     * Pulls a text whole within the time; pieces that `atHand` (may be null) has aren't pulled.
     * What comes back has the hash that was asked for.
     */
    Result<std::string, RpcError> fetchText(const Endpoint &peer, Generation generation,
                                            std::uint64_t textHash, const ShelvedText *atHand,
                                            Duration patience);
    /** Null when the member doesn't keep it. */
    Result<std::shared_ptr<const KeptAnswer>, RpcError>
    fetchAnswer(const Endpoint &peer, const RequestKey &key, Duration patience);

private:
    class Connection;

    const RpcSeal &m_seal;
    const Clock &m_clock;
    PlatformCounters &m_counters;
    const std::atomic<bool> &m_stop;
};

} // namespace Apricothook
