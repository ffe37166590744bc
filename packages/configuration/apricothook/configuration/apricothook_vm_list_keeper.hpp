#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <optional>

namespace Apricothook {

/** Keeps the newest list of leaving VMs; the platform's copy lags, so an older one may come late.
 */
class VmListKeeper
{
public:
    /** True when the list is newer and is in force now. */
    bool offer(const VmList &list);
    const VmList &list() const { return m_list; }
    /** The request that brings a member's newer list here, if it has one. */
    std::optional<VmListRequest> requestFor(std::uint64_t theirRevision) const;
    /** The answer to a member's request, if it lacks something. */
    std::optional<VmList> replyTo(const VmListRequest &request) const;

private:
    VmList m_list;
};

} // namespace Apricothook
