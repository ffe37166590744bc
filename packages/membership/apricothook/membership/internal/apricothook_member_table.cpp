#include <apricothook/membership/internal/apricothook_member_table.hpp>
#include <apricothook/membership/internal/apricothook_update_order.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

bool isAccused(MemberState state)
{
    return state == MemberState::Suspect || state == MemberState::Dead;
}

MemberChange changeBetween(const MemberRecord &before, const MemberUpdate &after)
{
    if (after.instance.incarnation != before.update.instance.incarnation)
        return MemberChange::Replaced;
    const MemberState old = before.update.state;
    if (after.state == MemberState::Dead && old != MemberState::Dead)
        return before.isLeaving ? MemberChange::Left : MemberChange::Died;
    if (after.state == MemberState::Suspect && !isAccused(old))
        return MemberChange::Suspected;
    const bool isRevived = old == MemberState::Dead && after.state != MemberState::Dead;
    if (isRevived || (!isAccused(after.state) && isAccused(old)))
        return MemberChange::Returned;
    if (after.state == MemberState::Leaving && !before.isLeaving)
        return MemberChange::Leaving;
    return MemberChange::Other;
}

bool isBefore(const MemberUpdate &update, const MemberId &member)
{
    return update.instance.member < member;
}

} // namespace

MemberChange MemberTable::merge(const MemberUpdate &update, Instant now)
{
    MemberRecord *known = find(update.instance.member);
    if (!known)
        return add(update, now);
    if (!replaces(update, known->update))
        return MemberChange::None;
    const MemberChange change = changeBetween(*known, update);
    const bool isSameLife = change != MemberChange::Replaced;
    if (update.state != known->update.state || !isSameLife) {
        known->since = now;
        known->isSuspectedHere = false;
    }
    known->isLeaving = update.state == MemberState::Leaving || (isSameLife && known->isLeaving);
    if (!isSameLife)
        known->digest.reset();
    known->update = update;
    sort(update);
    show(*known);
    return change;
}

MemberChange MemberTable::add(const MemberUpdate &update, Instant now)
{
    // A dead stranger is none of our news: it would only be spread again and again.
    if (update.state == MemberState::Dead)
        return MemberChange::None;
    MemberRecord &record = m_records[update.instance.member];
    record.update = update;
    record.since = now;
    record.isLeaving = update.state == MemberState::Leaving;
    sort(update);
    show(record);
    return MemberChange::Joined;
}

void MemberTable::setLoad(const MemberUpdate &update)
{
    MemberRecord *known = find(update.instance.member);
    if (!known || known->update.instance != update.instance)
        return;
    known->update.load = update.load;
    const auto place
        = std::lower_bound(m_live.begin(), m_live.end(), update.instance.member, isBefore);
    if (place != m_live.end() && place->instance == update.instance)
        place->load = update.load;
}

MemberRecord *MemberTable::find(const MemberId &member)
{
    const auto place = m_records.find(member);
    return place == m_records.end() ? nullptr : &place->second;
}

const MemberRecord *MemberTable::find(const MemberId &member) const
{
    const auto place = m_records.find(member);
    return place == m_records.end() ? nullptr : &place->second;
}

const MemberUpdate *MemberTable::findLive(const MemberId &member) const
{
    const auto place = std::lower_bound(m_live.begin(), m_live.end(), member, isBefore);
    return place != m_live.end() && place->instance.member == member ? &*place : nullptr;
}

void MemberTable::refreshSuspects(Instant now)
{
    for (const MemberId &member : m_suspects)
        find(member)->since = now;
}

void MemberTable::forgetDead(Instant before)
{
    std::erase_if(m_dead, [this, before](const MemberId &member) {
        const bool isOld = find(member)->since < before;
        if (isOld)
            m_records.erase(member);
        return isOld;
    });
}

void MemberTable::sort(const MemberUpdate &update)
{
    const MemberId &member = update.instance.member;
    m_suspects.erase(member);
    m_dead.erase(member);
    if (update.state == MemberState::Suspect)
        m_suspects.insert(member);
    if (update.state == MemberState::Dead)
        m_dead.insert(member);
}

void MemberTable::show(const MemberRecord &record)
{
    MemberUpdate shown = record.update;
    const auto place
        = std::lower_bound(m_live.begin(), m_live.end(), shown.instance.member, isBefore);
    const bool isShown = place != m_live.end() && place->instance.member == shown.instance.member;
    // A leaving member that is suspected stays a leaving one: as a mere suspect it would get new
    // work again.
    if (shown.state == MemberState::Suspect && record.isLeaving)
        shown.state = MemberState::Leaving;
    if (shown.state == MemberState::Dead) {
        if (!isShown)
            return;
        m_live.erase(place);
    } else if (!isShown) {
        m_live.insert(place, shown);
    } else if (*place != shown) {
        *place = shown;
    }
    ++m_version;
}

} // namespace Apricothook
