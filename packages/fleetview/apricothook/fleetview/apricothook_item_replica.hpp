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

/** A number that grows with each change of the published items. */
using Revision = std::uint64_t;

/** A published item as it was written, or its removal. */
struct ItemChange
{
    std::string key;
    /** Nothing when the item was removed. */
    std::optional<std::string> value;
    Revision revision = 0;

    auto operator<=>(const ItemChange &) const = default;
};

/** What a source tells: changes, or everything that there is. */
struct ItemUpdate
{
    std::vector<ItemChange> changes;
    /** `changes` are all items; what isn't among them was removed. */
    bool isSnapshot = false;
    /** The revision up to which the source has told everything. */
    Revision revision = 0;

    auto operator<=>(const ItemUpdate &) const = default;
};

/**
 * This daemon's copy of the published items.
 *
 * A target may write its entry anew to say no more than that it lives, or that it is less cold than
 * before. Passed on to all daemons that would grow with targets times daemons, so only changes that
 * matter are told to peers; that an entry lapses is one.
 *
 * Sources may tell the same change twice or in any
 * order; of each key the highest revision counts, and a removal is remembered so that an older copy
 * of the item doesn't bring it back.
 */
class ItemReplica
{
public:
    /**
     * Changes that are kept for peers that ask what happened since a revision; without them they
     * get all items. Enough for each of 3,000 targets to come in one go.
     */
    static constexpr std::size_t KeptChanges = 4096;
    /** Called for each change that is new; true when it tells anything that matters to peers. */
    using Changed = std::function<bool(const ItemChange &)>;

    explicit ItemReplica(Changed changed) : m_changed(std::move(changed)) { }

    void apply(const ItemUpdate &update);
    Revision revision() const { return m_revision; }
    /** Of the last change that matters to peers and came after the first update; zero at first. */
    Revision relevantRevision() const { return m_newsRevision; }
    /** The same with all that the first update told, for those that others hear news from. */
    Revision advertisedRevision() const { return std::max(m_firstRevision, m_newsRevision); }
    /** What a peer that knows all up to `after` lacks; everything when that isn't known any more.
     */
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
    /** In the order in which they became known, which is that of revisions but for late ones. */
    std::deque<ItemChange> m_history;
    /** since() answers with changes for revisions from here on. */
    Revision m_historyStart = 0;
    Revision m_revision = 0;
    Revision m_firstRevision = 0;
    Revision m_newsRevision = 0;
};

} // namespace Apricothook
