#include <apricothook/peers/apricothook_cbor_reader.hpp>
#include <apricothook/peers/apricothook_cbor_writer.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>
#include <apricothook/peers/internal/apricothook_peer_signer.hpp>
#include <apricothook/peers/internal/apricothook_replay_windows.hpp>

namespace Apricothook {

namespace {

constexpr std::uint8_t Version = 1;
/**
 * Size of the array header and the version, and the largest CBOR headers of key number, sender,
 * incarnation, recipient and sequence number.
 */
constexpr std::size_t LargestHeaderBytes = 1 + 1 + 5 + 3 + 9 + 3 + 9;

struct Header
{
    std::uint8_t version = 0;
    std::uint32_t keyNumber = 0;
    MemberInstance from;
    MemberId recipient;
    std::uint64_t sequence = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.version, s.keyNumber, s.from.member, s.from.incarnation, s.recipient, s.sequence);
    }
};

} // namespace

PeerSealer::PeerSealer(MemberInstance self, const PeerKeys &keys)
    : m_self(std::move(self)), m_signer(std::make_unique<PeerSigner>(keys))
{
}

PeerSealer::~PeerSealer() = default;

std::string PeerSealer::seal(const MemberId &recipient, std::string_view payload)
{
    CborWriter writer;
    writer.write(Header {Version, m_signer->signingKeyNumber(), m_self, recipient, ++m_sequence});
    std::string datagram = writer.take();
    datagram.append(payload);
    const std::optional<PeerSigner::Signature> signature
        = m_signer->sign(m_signer->signingKeyNumber(), datagram);
    if (!signature)
        return {};
    datagram.append(signature->data(), signature->size());
    return datagram;
}

std::size_t PeerSealer::overhead(const MemberId &recipient) const
{
    return LargestHeaderBytes + m_self.member.text().size() + recipient.text().size()
        + PeerSigner::Bytes;
}

PeerOpener::PeerOpener(MemberId self, const PeerKeys &keys)
    : m_self(std::move(self))
    , m_signer(std::make_unique<PeerSigner>(keys))
    , m_windows(std::make_unique<ReplayWindows>())
{
}

PeerOpener::~PeerOpener() = default;

Result<OpenedDatagram, SealError> PeerOpener::open(std::string_view datagram)
{
    if (datagram.size() < PeerSigner::Bytes)
        return SealError::Malformed;
    const std::string_view covered = datagram.substr(0, datagram.size() - PeerSigner::Bytes);
    CborReader reader(covered);
    Header header;
    reader.read(header);
    if (reader.error() || header.version != Version)
        return SealError::Malformed;
    if (!m_signer->hasKey(header.keyNumber))
        return SealError::UnknownKey;
    if (!m_signer->verify(header.keyNumber, covered, datagram.substr(covered.size())))
        return SealError::BadSignature;
    if (!header.recipient.isEmpty() && header.recipient != m_self)
        return SealError::ForAnotherMember;
    // An attacker could resend a recorded datagram and so deliver its messages long after they were
    // valid. Receivers are idempotent, but an outdated Alive or Release must not take effect again.
    if (!m_windows->accept(header.from, header.sequence))
        return SealError::Replayed;
    return OpenedDatagram {header.from, reader.remaining()};
}

} // namespace Apricothook
