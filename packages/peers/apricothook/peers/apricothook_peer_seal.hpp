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

/** Reason why a datagram is dropped. */
enum class SealError {
    Malformed,        ///< No valid header; sent by a foreign process or another version.
    UnknownKey,       ///< Signed with a key that this daemon doesn't have.
    BadSignature,     ///< Modified in transit, or not sent by a daemon of the fleet.
    ForAnotherMember, ///< Sent to the member that had this address before.
    Replayed,         ///< Already received, or older than the replay window.
};

/** An authenticated datagram. */
struct OpenedDatagram
{
    MemberInstance from;
    /** Encoded messages; a view into the datagram. */
    std::string_view payload;
};

/** Signs the datagrams that a daemon sends. Not thread-safe. */
class PeerSealer
{
public:
    PeerSealer(MemberInstance self, const PeerKeys &keys);
    ~PeerSealer();
    /**
     * Returns header, payload and signature. With an empty recipient, any member at the address
     * accepts the datagram.
     */
    std::string seal(const MemberId &recipient, std::string_view payload);
    /** Upper limit of the bytes that seal() adds to a payload for this recipient. */
    std::size_t overhead(const MemberId &recipient) const;

private:
    MemberInstance m_self;
    std::unique_ptr<PeerSigner> m_signer;
    std::uint64_t m_sequence = 0;
};

/** Authenticates the datagrams that a daemon receives and rejects replays. Not thread-safe. */
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
