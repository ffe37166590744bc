#include <apricothook/membership/internal/apricothook_update_order.hpp>
#include <apricothook/membership/internal/apricothook_update_queue.hpp>

#include <algorithm>

namespace Apricothook {

void UpdateQueue::add(const MemberUpdate &update)
{
    m_entries[update.instance.member] = {update, 0};
}

void UpdateQueue::fill(std::vector<MemberUpdate> &updates, std::size_t bytes,
                       std::size_t transmissions)
{
    std::vector<Entry *> entries;
    for (auto &[member, entry] : m_entries)
        entries.push_back(&entry);
    std::stable_sort(entries.begin(), entries.end(),
                     [](const Entry *a, const Entry *b) { return a->sent < b->sent; });
    for (Entry *entry : entries) {
        const std::size_t size = wireBound(entry->update);
        if (size > bytes)
            break;
        bytes -= size;
        updates.push_back(entry->update);
        ++entry->sent;
    }
    std::erase_if(m_entries, [=](const auto &pair) { return pair.second.sent >= transmissions; });
}

void UpdateQueue::dropAccusations()
{
    std::erase_if(m_entries, [](const auto &pair) {
        const MemberState state = pair.second.update.state;
        return state == MemberState::Suspect || state == MemberState::Dead;
    });
}

} // namespace Apricothook
