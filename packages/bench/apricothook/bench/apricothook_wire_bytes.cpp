#include <apricothook/bench/apricothook_wire_bytes.hpp>

#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>

namespace Apricothook {

double datagramBytes(const Outbox &messages)
{
    constexpr std::size_t Headers = 28;
    const MemberInstance self {MemberId("entry-0000"), Incarnation(1'700'000'000'000)};
    PeerSealer sealer(self, PeerKeys {{1, "0123456789abcdef"}});
    std::string payload;
    for (const OutgoingMessage &outgoing : messages)
        payload += encode(outgoing.message);
    const MemberId to = messages.empty() ? MemberId() : messages.front().to;
    return static_cast<double>(sealer.seal(to, payload).size() + Headers);
}

} // namespace Apricothook
