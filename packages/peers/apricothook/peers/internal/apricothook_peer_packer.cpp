#include <apricothook/peers/internal/apricothook_peer_packer.hpp>

namespace Apricothook {

void PeerPacker::add(const MemberId &to, const Endpoint &address, const std::string &message,
                     std::size_t limit)
{
    std::string &open = m_open[{to, address}];
    if (!open.empty() && open.size() + message.size() > limit) {
        m_full.push_back({to, address, std::move(open)});
        open.clear();
    }
    open.append(message);
    m_pendingBytes += message.size();
}

std::vector<PackedMessages> PeerPacker::take()
{
    std::vector<PackedMessages> packed = std::move(m_full);
    for (auto &[destination, payload] : m_open)
        packed.push_back({destination.first, destination.second, std::move(payload)});
    m_full.clear();
    m_open.clear();
    m_pendingBytes = 0;
    return packed;
}

} // namespace Apricothook
