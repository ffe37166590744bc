#pragma once

#include <apricothook/peers/apricothook_peer_keys.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evp_mac_ctx_st;

namespace Apricothook {

/**
 * Signs and verifies with HMAC-SHA256, truncated to 16 bytes. Not thread-safe, as it holds an
 * OpenSSL context for each key.
 */
class PeerSigner
{
public:
    static constexpr std::size_t Bytes = 16;
    using Signature = std::array<char, Bytes>;

    explicit PeerSigner(const PeerKeys &keys);
    ~PeerSigner();
    /** Number of the key that signs. */
    std::uint32_t signingKeyNumber() const;
    bool hasKey(std::uint32_t number) const;
    /** Returns nothing if there is no key with this number. */
    std::optional<Signature> sign(std::uint32_t number, std::string_view bytes);
    bool verify(std::uint32_t number, std::string_view bytes, std::string_view signature);

private:
    struct Free
    {
        void operator()(evp_mac_ctx_st *context) const;
    };
    struct KeyContext
    {
        std::uint32_t number = 0;
        std::unique_ptr<evp_mac_ctx_st, Free> context;
    };

    const KeyContext *find(std::uint32_t number) const;

    std::vector<KeyContext> m_keys;
};

} // namespace Apricothook
