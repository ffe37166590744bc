#include <apricothook/configuration/apricothook_vm_list_keeper.hpp>

namespace Apricothook {

bool VmListKeeper::offer(const VmList &list)
{
    // A late older list would give a leaving VM work again.
    if (list.revision <= m_list.revision)
        return false;
    m_list = list;
    return true;
}

std::optional<VmListRequest> VmListKeeper::requestFor(std::uint64_t theirRevision) const
{
    if (theirRevision <= m_list.revision)
        return std::nullopt;
    return VmListRequest {m_list.revision};
}

std::optional<VmList> VmListKeeper::replyTo(const VmListRequest &request) const
{
    if (request.knownRevision >= m_list.revision)
        return std::nullopt;
    return m_list;
}

} // namespace Apricothook
