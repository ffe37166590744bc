#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/peers/apricothook_peer_keys.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace Apricothook {

/** A call between members, with the proof that its sender has a peer key. */
struct SealedCall
{
    /** The call's parameters as a JSON document; sealed byte by byte. */
    std::string body;
    /** Milliseconds since the Unix epoch at the sender. */
    std::uint64_t time = 0;
    /** Random; the reply is bound to it. */
    std::string nonce;
    std::uint32_t key = 0;
    /** HMAC-SHA-256 in lower-case hex. */
    std::string mac;
    auto operator<=>(const SealedCall &) const = default;
};

struct SealedReply
{
    std::string body;
    std::string mac;
    auto operator<=>(const SealedReply &) const = default;
};

enum class RpcSealError {
    UnknownKey,
    BadSignature,
    TooOld,   ///< Or too far ahead: the clocks of both VMs differ by more than SealAge.
    Replayed, ///< The same call came before.
};

std::string_view nameOf(RpcSealError error);

/** How far the clocks of two members may differ, and how long a call can be replayed at all. */
constexpr Duration SealAge = std::chrono::seconds(60);

/** Seals and opens calls and replies. Safe for several threads. */
class RpcSeal
{
public:
    explicit RpcSeal(PeerKeys keys);

    SealedCall sealCall(std::string_view method, std::string body,
                        std::uint64_t wallMilliseconds) const;
    /** Refuses a call that was opened before, while it could still pass for young. */
    Result<void, RpcSealError> openCall(std::string_view method, const SealedCall &call,
                                        std::uint64_t wallMilliseconds);
    SealedReply sealReply(std::string_view method, const SealedCall &call, std::string body) const;
    bool openReply(std::string_view method, const SealedCall &call, const SealedReply &reply) const;

private:
    struct SeenNonce
    {
        std::uint64_t time;
        std::string nonce;
    };

    const PeerKey *findKey(std::uint32_t number) const;
    bool remember(const SealedCall &call, std::uint64_t wallMilliseconds);

    PeerKeys m_keys;
    std::mutex m_mutex;
    std::set<std::string> m_nonces;
    std::deque<SeenNonce> m_order;
};

} // namespace Apricothook
