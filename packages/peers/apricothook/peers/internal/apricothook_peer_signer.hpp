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

/** HMAC-SHA256 cut to 16 bytes. Not for two threads at once: it keeps OpenSSL's state per key. */
class PeerSigner
{
public:
    static constexpr std::size_t Bytes = 16;
    using Signature = std::array<char, Bytes>;

    explicit PeerSigner(const PeerKeys &keys);
    ~PeerSigner();
    /** The key that signs. */
    std::uint32_t firstNumber() const;
    bool knows(std::uint32_t number) const;
    /** Nothing for a key number that isn't known. */
    std::optional<Signature> sign(std::uint32_t number, std::string_view bytes);
    bool isSigned(std::uint32_t number, std::string_view bytes, std::string_view signature);

private:
    struct Free
    {
        void operator()(evp_mac_ctx_st *context) const;
    };
    struct Keyed
    {
        std::uint32_t number = 0;
        std::unique_ptr<evp_mac_ctx_st, Free> context;
    };

    const Keyed *find(std::uint32_t number) const;

    std::vector<Keyed> m_keys;
};

} // namespace Apricothook
