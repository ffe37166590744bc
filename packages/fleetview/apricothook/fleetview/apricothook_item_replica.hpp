#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** Increases with each change of the published items. */
using Revision = std::uint64_t;

/** A write or removal of a published item. */
struct ItemChange
{
    std::string key;
    /** Empty if the item was removed. */
    std::optional<std::string> value;
    Revision revision = 0;

    auto operator<=>(const ItemChange &) const = default;
};

/** Content of a source's response: changes or a complete listing. */
struct ItemUpdate
{
    std::vector<ItemChange> changes;
    /** `changes` lists all items; any other item has been removed. */
    bool isSnapshot = false;
    /** Revision up to which the update is complete. */
    Revision revision = 0;

    auto operator<=>(const ItemUpdate &) const = default;
};

/**
 * This daemon's replica of the published items.
 *
 * A target also rewrites its entry as a heartbeat or to report that it has become less cold.
 * Forwarding these writes to all daemons would cause traffic proportional to targets times daemons.
 * Only significant changes are therefore forwarded to peers; the expiry of an entry is one.
 *
 * Changes may be received repeatedly and in any order. For each key the highest revision wins, and
 * removals are kept as tombstones so that an older copy of an item doesn't restore it.
 */
class ItemReplica
{
public:
    /**
     * Number of changes kept for peers that request the changes since a revision; a peer that is
     * further behind gets all items. Sufficient for 3,000 targets to register at once.
     */
    static constexpr std::size_t HistoryLimit = 4096;
    /** Called for each new change; returns true if the change is significant to peers. */
    using Changed = std::function<bool(const ItemChange &)>;

    explicit ItemReplica(Changed changed) : m_changed(std::move(changed)) { }

    void apply(const ItemUpdate &update);
    Revision revision() const { return m_revision; }
    /** Revision of the last significant change after the first update; zero before there is one. */
    Revision relevantRevision() const { return m_newsRevision; }
    /** The same, but at least the revision of the first update; for daemons that others follow. */
    Revision advertisedRevision() const { return std::max(m_firstRevision, m_newsRevision); }
    /** Increases with each update, so that the same version has the same content. */
    std::uint64_t version() const { return m_version; }
    /** Significant changes after a revision, or all items if the history no longer reaches back. */
    ItemUpdate since(Revision after) const;

private:
    struct Item
    {
        std::optional<std::string> value;
        Revision revision = 0;
    };

    void applyChange(const ItemChange &change);
    void removeMissing(const ItemUpdate &whole);

    Changed m_changed;
    std::map<std::string, Item> m_items;
    /** In order of arrival, which is the order of revisions except for delayed changes. */
    std::deque<ItemChange> m_history;
    /** Lowest revision for which since() returns changes only. */
    Revision m_historyStart = 0;
    Revision m_revision = 0;
    std::uint64_t m_version = 0;
    Revision m_firstRevision = 0;
    Revision m_newsRevision = 0;
};

} // namespace Apricothook
