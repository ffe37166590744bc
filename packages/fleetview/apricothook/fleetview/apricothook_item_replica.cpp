#include <apricothook/fleetview/apricothook_item_replica.hpp>

#include <algorithm>
#include <set>

namespace Apricothook {

void ItemReplica::apply(const ItemUpdate &update)
{
    ++m_version;
    const bool isFirst = m_revision == 0;
    for (const ItemChange &change : update.changes)
        applyChange(change);
    if (update.isSnapshot)
        removeMissing(update);
    if (isFirst) {
        m_historyStart = update.revision;
        m_firstRevision = update.revision;
        m_newsRevision = 0;
    }
    m_revision = std::max(m_revision, update.revision);
}

void ItemReplica::applyChange(const ItemChange &change)
{
    Item &item = m_items[change.key];
    if (change.revision <= item.revision)
        return;
    item = {change.value, change.revision};
    if (!m_changed(change))
        return;
    m_newsRevision = std::max(m_newsRevision, change.revision);
    m_history.push_back(change);
    if (m_history.size() > HistoryLimit) {
        m_historyStart = std::max(m_historyStart, m_history.front().revision);
        m_history.pop_front();
    }
}

void ItemReplica::removeMissing(const ItemUpdate &whole)
{
    std::set<std::string> present;
    for (const ItemChange &change : whole.changes)
        present.insert(change.key);
    std::vector<ItemChange> removed;
    for (const auto &[key, item] : m_items) {
        // An item that is newer than the listing may have been written after it.
        if (item.value && item.revision <= whole.revision && !present.contains(key))
            removed.push_back({key, std::nullopt, whole.revision});
    }
    for (const ItemChange &change : removed)
        applyChange(change);
}

ItemUpdate ItemReplica::since(Revision after) const
{
    ItemUpdate update;
    update.revision = m_revision;
    if (after >= m_historyStart && after > 0) {
        std::ranges::copy_if(m_history, std::back_inserter(update.changes),
                             [after](const ItemChange &change) { return change.revision > after; });
        return update;
    }
    update.isSnapshot = true;
    for (const auto &[key, item] : m_items) {
        if (item.value)
            update.changes.push_back({key, item.value, item.revision});
    }
    return update;
}

} // namespace Apricothook
