#include <apricothook/configservice/apricothook_rpc_seal.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::size_t NonceBytes = 16;
/** Calls are few (kept answers, texts); a flood of sealed calls would need the key. */
constexpr std::size_t MaximumNonces = 65536;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * size);
    for (std::size_t i = 0; i < size; ++i) {
        hex += Digits[bytes[i] >> 4U];
        hex += Digits[bytes[i] & 0xFU];
    }
    return hex;
}

std::string macOf(const PeerKey &key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), digest.data(),
         &size);
    return toHex(digest.data(), size);
}

bool isSame(const std::string &one, const std::string &other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

/** The kind and the line ends keep a call from passing as a reply, or as another method's. */
std::string signedPart(std::string_view kind, std::string_view method, const SealedCall &call,
                       std::string_view body)
{
    std::string part(kind);
    part += '\n';
    part += method;
    part += '\n' + std::to_string(call.time) + '\n' + call.nonce + '\n';
    part += body;
    return part;
}

std::string callMac(const PeerKey &key, std::string_view method, const SealedCall &call)
{
    return macOf(key, signedPart("call", method, call, call.body));
}

std::string replyMac(const PeerKey &key, std::string_view method, const SealedCall &call,
                     std::string_view body)
{
    return macOf(key, signedPart("reply", method, call, body));
}

std::uint64_t ageLimit()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(SealAge).count());
}

} // namespace

std::string_view nameOf(RpcSealError error)
{
    switch (error) {
    case RpcSealError::UnknownKey:
        return "unknown-key";
    case RpcSealError::BadSignature:
        return "bad-signature";
    case RpcSealError::TooOld:
        return "too-old";
    case RpcSealError::Replayed:
        break;
    }
    return "replayed";
}

RpcSeal::RpcSeal(PeerKeys keys) : m_keys(std::move(keys)) { }

SealedCall RpcSeal::sealCall(std::string_view method, std::string body,
                             std::uint64_t wallMilliseconds) const
{
    std::array<unsigned char, NonceBytes> nonce {};
    RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
    SealedCall call {std::move(body), wallMilliseconds, toHex(nonce.data(), nonce.size()),
                     m_keys.front().number, ""};
    call.mac = callMac(m_keys.front(), method, call);
    return call;
}

Result<void, RpcSealError> RpcSeal::openCall(std::string_view method, const SealedCall &call,
                                             std::uint64_t wallMilliseconds)
{
    const PeerKey *key = findKey(call.key);
    if (!key)
        return RpcSealError::UnknownKey;
    if (!isSame(callMac(*key, method, call), call.mac))
        return RpcSealError::BadSignature;
    const auto [earlier, later] = std::minmax(call.time, wallMilliseconds);
    if (later - earlier > ageLimit())
        return RpcSealError::TooOld;
    if (!remember(call, wallMilliseconds))
        return RpcSealError::Replayed;
    return Outcomes::success();
}

SealedReply RpcSeal::sealReply(std::string_view method, const SealedCall &call,
                               std::string body) const
{
    const PeerKey *key = findKey(call.key);
    SealedReply reply {std::move(body), ""};
    if (key)
        reply.mac = replyMac(*key, method, call, reply.body);
    return reply;
}

bool RpcSeal::openReply(std::string_view method, const SealedCall &call,
                        const SealedReply &reply) const
{
    const PeerKey *key = findKey(call.key);
    return key && isSame(replyMac(*key, method, call, reply.body), reply.mac);
}

const PeerKey *RpcSeal::findKey(std::uint32_t number) const
{
    const auto found = std::find_if(m_keys.begin(), m_keys.end(),
                                    [number](const PeerKey &key) { return key.number == number; });
    return found == m_keys.end() ? nullptr : &*found;
}

bool RpcSeal::remember(const SealedCall &call, std::uint64_t wallMilliseconds)
{
    const std::lock_guard lock(m_mutex);
    // A call dated ahead stays young for up to twice the age.
    while (!m_order.empty()
           && (m_order.size() >= MaximumNonces
               || m_order.front().time + 2 * ageLimit() < wallMilliseconds)) {
        m_nonces.erase(m_order.front().nonce);
        m_order.pop_front();
    }
    if (!m_nonces.insert(call.nonce).second)
        return false;
    m_order.push_back({wallMilliseconds, call.nonce});
    return true;
}

} // namespace Apricothook
