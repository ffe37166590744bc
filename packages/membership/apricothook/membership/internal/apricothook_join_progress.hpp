#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/** Reads the member list page by page when a daemon starts. */
class JoinProgress
{
public:
    void start(std::vector<Endpoint> seeds, Instant now);
    const std::vector<Endpoint> &seeds() const { return m_seeds; }
    /** True until the whole list was read. */
    bool isReading() const { return m_isReading; }
    /** True once any page came. */
    bool isJoined() const { return m_isJoined; }
    std::uint32_t nextPage() const { return m_nextPage; }
    bool isDue(Instant now) const { return m_isReading && now >= m_nextTry; }
    /** Notes a try; `jitter` spreads daemons that started together. */
    void tried(Instant now, std::uint64_t jitter);
    /** Notes a page of `others` members; true when the next page is to be asked of its sender. */
    bool take(const MemberList &list, std::size_t others, Instant now);

private:
    std::vector<Endpoint> m_seeds;
    bool m_isReading = false;
    bool m_isJoined = false;
    std::uint32_t m_nextPage = 0;
    std::uint32_t m_tries = 0;
    Instant m_nextTry {};
};

} // namespace Apricothook
