#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/** What this daemon knows of one member. */
struct MemberRecord
{
    MemberUpdate update;
    /** When its state became what it is. */
    Instant since {};
    /** It said that it was leaving: its death is no loss. */
    bool isLeaving = false;
    /** This daemon's own probe failed, not only somebody's word. */
    bool isSuspectedHere = false;
    std::optional<StateDigest> digest;
};

/** What an update changed. */
enum class MemberChange {
    None,
    Joined,
    Replaced, ///< A new life has the name.
    Returned, ///< Suspected or dead before.
    Suspected,
    Died,
    Leaving,
    Left,  ///< Dead after it was leaving.
    Other, ///< News that change nothing for others, such as a raised refutation.
};

/** All members, living and dead, with the rules by which news of them are taken. */
class MemberTable
{
public:
    MemberChange merge(const MemberUpdate &update, Instant now);
    /** A load heard from the member itself; loads age too fast to be spread. */
    void setLoad(const MemberUpdate &update);
    MemberRecord *find(const MemberId &member);
    const MemberRecord *find(const MemberId &member) const;
    const std::map<MemberId, MemberRecord> &records() const { return m_records; }
    /** Starts the wait of every suspect anew. */
    void refreshSuspects(Instant now);
    void forgetDead(Instant before);

    const std::set<MemberId> &suspects() const { return m_suspects; }
    const std::vector<MemberUpdate> &live() const { return m_live; }
    const MemberUpdate *findLive(const MemberId &member) const;
    std::uint64_t version() const { return m_version; }

private:
    MemberChange add(const MemberUpdate &update, Instant now);
    void sort(const MemberUpdate &update);
    void show(const MemberRecord &record);

    std::map<MemberId, MemberRecord> m_records;
    std::vector<MemberUpdate> m_live;
    std::set<MemberId> m_suspects;
    std::set<MemberId> m_dead;
    std::uint64_t m_version = 0;
};

} // namespace Apricothook
