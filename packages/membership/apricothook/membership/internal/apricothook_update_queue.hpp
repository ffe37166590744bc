#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** News of members that ride on messages, each a bounded number of times. */
class UpdateQueue
{
public:
    /** Replaces older news of the same member. */
    void add(const MemberUpdate &update);
    /** Adds the news sent least so far to `updates` while they fit in `bytes`. */
    void fill(std::vector<MemberUpdate> &updates, std::size_t bytes, std::size_t transmissions);
    /** Drops suspicions and deaths. */
    void dropAccusations();
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        MemberUpdate update;
        std::size_t sent = 0;
    };

    std::map<MemberId, Entry> m_entries;
};

} // namespace Apricothook
