#include <apricothook/peers/internal/apricothook_peer_signer.hpp>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::size_t DigestBytes = 32;

const unsigned char *raw(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

EVP_MAC_CTX *makeContext(const PeerKey &key)
{
    EVP_MAC *mac = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
    EVP_MAC_CTX *context = EVP_MAC_CTX_new(mac);
    EVP_MAC_free(mac);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
        OSSL_PARAM_construct_end()};
    EVP_MAC_init(context, raw(key.secret), key.secret.size(), parameters.data());
    return context;
}

} // namespace

void PeerSigner::Free::operator()(evp_mac_ctx_st *context) const
{
    EVP_MAC_CTX_free(context);
}

PeerSigner::PeerSigner(const PeerKeys &keys)
{
    for (const PeerKey &key : keys)
        m_keys.push_back({key.number, std::unique_ptr<evp_mac_ctx_st, Free>(makeContext(key))});
}

PeerSigner::~PeerSigner() = default;

std::uint32_t PeerSigner::signingKeyNumber() const
{
    return m_keys.empty() ? 0 : m_keys.front().number;
}

const PeerSigner::KeyContext *PeerSigner::find(std::uint32_t number) const
{
    const auto key
        = std::find_if(m_keys.begin(), m_keys.end(), [number](const KeyContext &candidate) {
              return candidate.number == number;
          });
    return key == m_keys.end() ? nullptr : &*key;
}

bool PeerSigner::hasKey(std::uint32_t number) const
{
    return find(number) != nullptr;
}

std::optional<PeerSigner::Signature> PeerSigner::sign(std::uint32_t number, std::string_view bytes)
{
    const KeyContext *key = find(number);
    if (!key)
        return std::nullopt;
    EVP_MAC_CTX *context = key->context.get();
    std::array<unsigned char, DigestBytes> digest;
    std::size_t size = 0;
    // Without a key, EVP_MAC_init() resets the context and keeps its key.
    if (EVP_MAC_init(context, nullptr, 0, nullptr) != 1
        || EVP_MAC_update(context, raw(bytes), bytes.size()) != 1
        || EVP_MAC_final(context, digest.data(), &size, digest.size()) != 1)
        return std::nullopt;
    Signature signature;
    std::copy_n(digest.begin(), Bytes, signature.begin());
    return signature;
}

bool PeerSigner::verify(std::uint32_t number, std::string_view bytes, std::string_view signature)
{
    const std::optional<Signature> own = sign(number, bytes);
    // The comparison takes constant time, so that its duration doesn't reveal how many bytes of a
    // forged signature are correct.
    return own && signature.size() == Bytes
        && CRYPTO_memcmp(own->data(), signature.data(), Bytes) == 0;
}

} // namespace Apricothook
