#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_peer_keys.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

class PeerSigner;
class ReplayWindows;

/** Why a datagram is dropped. */
enum class SealError {
    Malformed,        ///< No header; a stranger or another version.
    UnknownKey,       ///< Signed with a key that this daemon doesn't have.
    BadSignature,     ///< Changed on the way, or not from a daemon of the fleet.
    ForAnotherMember, ///< The address belonged to another member when it was sent.
    Replayed,         ///< Came before, or is older than the window.
};

/** An authenticated datagram. */
struct OpenedDatagram
{
    MemberInstance from;
    /** The messages; a view into the datagram. */
    std::string_view payload;
};

/** Seals datagrams of one daemon; for one thread. */
class PeerSealer
{
public:
    PeerSealer(MemberInstance self, const PeerKeys &keys);
    ~PeerSealer();
    /** Header, payload and signature. An empty recipient: whoever has the address. */
    std::string seal(const MemberId &recipient, std::string_view payload);
    /** Bytes that sealing adds at most for this recipient. */
    std::size_t overhead(const MemberId &recipient) const;

private:
    MemberInstance m_self;
    std::unique_ptr<PeerSigner> m_signer;
    std::uint64_t m_sequence = 0;
};

/** Opens datagrams that came to one daemon; for one thread. */
class PeerOpener
{
public:
    PeerOpener(MemberId self, const PeerKeys &keys);
    ~PeerOpener();
    Result<OpenedDatagram, SealError> open(std::string_view datagram);

private:
    MemberId m_self;
    std::unique_ptr<PeerSigner> m_signer;
    std::unique_ptr<ReplayWindows> m_windows;
};

} // namespace Apricothook
