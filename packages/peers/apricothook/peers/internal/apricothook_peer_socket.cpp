#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_transport.hpp>
#include <apricothook/peers/internal/apricothook_peer_address.hpp>
#include <apricothook/peers/internal/apricothook_peer_socket.hpp>

namespace Apricothook {

namespace {

constexpr std::size_t LargestDatagram = 65'536;
/** Interval at which the receiving thread checks whether it should stop. */
constexpr long StopCheckMicroseconds = 100'000;
/** Payload that may be queued until flush(), so that a missing flush doesn't exhaust memory. */
constexpr std::size_t MaximumQueuedBytes = 1024UL * 1024;
/** Holds some milliseconds of a burst of datagrams while the receiving thread is busy. */
constexpr int ReceiveBufferBytes = 1024 * 1024;

} // namespace

PeerSocket::PeerSocket(const MemberInstance &self, const PeerKeys &keys, CoreInbox &inbox)
    : m_inbox(inbox), m_sealer(self, keys), m_opener(self.member, keys)
{
}

PeerSocket::~PeerSocket()
{
    stop();
}

bool PeerSocket::open(const ACE_INET_Addr &address)
{
    if (m_socket.open(address, address.get_type()) != 0)
        return false;
    int size = ReceiveBufferBytes;
    m_socket.set_option(SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    return activate() == 0;
}

void PeerSocket::send(const MemberId &to, const Endpoint &address, const PeerMessage &message)
{
    const std::string bytes = encode(message);
    if (bytes.size() > MaximumMessageBytes) {
        ++m_counters.tooLong;
        return;
    }
    PeerCounterTable::Kind &kind = m_counters.sent[message.index()];
    ++kind.messages;
    kind.bytes += bytes.size();
    m_packer.add(to, address, bytes, SharedDatagramBytes - m_sealer.overhead(to));
    if (m_packer.pendingBytes() > MaximumQueuedBytes)
        flush();
}

void PeerSocket::flush()
{
    for (const PackedMessages &packed : m_packer.take())
        sendDatagram(packed);
}

void PeerSocket::sendDatagram(const PackedMessages &packed)
{
    const std::optional<ACE_INET_Addr> address = socketAddress(packed.address);
    const std::string datagram = m_sealer.seal(packed.to, packed.payload);
    const bool isSent = address
        && m_socket.send(datagram.data(), datagram.size(), *address, MSG_DONTWAIT)
            == static_cast<ssize_t>(datagram.size());
    if (!isSent) {
        ++m_counters.sendFailures;
        return;
    }
    ++m_counters.datagramsSent;
    m_counters.bytesSent += datagram.size();
}

void PeerSocket::stop()
{
    m_isStopping = true;
    wait();
    m_socket.close();
}

int PeerSocket::svc()
{
    std::string buffer(LargestDatagram, '\0');
    while (!m_isStopping)
        receiveDatagram(buffer);
    return 0;
}

void PeerSocket::receiveDatagram(std::string &buffer)
{
    const ACE_Time_Value timeout(0, StopCheckMicroseconds);
    ACE_INET_Addr from;
    const ssize_t size = m_socket.recv(buffer.data(), buffer.size(), from, 0, &timeout);
    if (size <= 0)
        return;
    ++m_counters.datagramsReceived;
    m_counters.bytesReceived += static_cast<std::uint64_t>(size);
    handleDatagram(std::string_view(buffer).substr(0, static_cast<std::size_t>(size)),
                   endpointOf(from));
}

void PeerSocket::handleDatagram(std::string_view datagram, const Endpoint &address)
{
    const Result<OpenedDatagram, SealError> opened = m_opener.open(datagram);
    if (!opened) {
        ++m_counters.refused[static_cast<std::size_t>(opened.error())];
        return;
    }
    Result<DecodedMessages, CodecError> decoded = decodeAll(opened.value().payload);
    if (!decoded) {
        ++m_counters.undecodable;
        return;
    }
    m_counters.unknownKinds += decoded.value().unknown;
    for (DecodedMessage &message : decoded.value().messages)
        deliver(opened.value().from, address, std::move(message));
}

void PeerSocket::deliver(const MemberInstance &from, const Endpoint &address,
                         DecodedMessage decoded)
{
    PeerCounterTable::Kind &kind = m_counters.received[decoded.message.index()];
    ++kind.messages;
    kind.bytes += decoded.bytes;
    if (!m_inbox.tryPost(PeerMessageReceived {from, address, std::move(decoded.message)}))
        ++m_counters.inboxFull;
}

} // namespace Apricothook
