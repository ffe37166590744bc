#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <limits>
#include <optional>

namespace Apricothook {

/** What a daemon tells others about the age of its view of the published items. */
struct ViewReport
{
    static constexpr std::uint32_t UnknownAge = std::numeric_limits<std::uint32_t>::max();

    /** All changes that were published `age` ago or earlier have at most this revision. */
    std::uint64_t revision = 0;
    /** In milliseconds. */
    std::uint32_t age = UnknownAge;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.revision, self.age);
    }
    auto operator<=>(const ViewReport &) const = default;
};

/**
 * Age of this daemon's view of the published items: the time since which changes may have been
 * published that it doesn't know.
 *
 * A daemon that hears of no change can't tell whether there is none or whether the one that should
 * report it is late, restarted or cut off. The view is therefore confirmed all the time, by this
 * daemon's own calls to the source or by peers that report the age of theirs. Once it isn't, the
 * daemon must read at the source itself.
 */
class ViewAge
{
public:
    /**
     * Age above which a daemon reads at the source itself, if changes must be in force within
     * `applyTimeout`: the other half is left for the call and for its failover.
     */
    static constexpr Duration limit(Duration applyTimeout) { return applyTimeout / 2; }

    /** All changes that were published at `time` are known. */
    void confirm(Instant time);
    /** Takes the report of a peer if this daemon, which knows all changes up to `own`, has them. */
    void confirm(const ViewReport &report, Revision own, Instant now);
    /** Empty before the first confirmation. */
    std::optional<Duration> age(Instant now) const;
    /** The age in the form in which it is reported to peers. */
    ViewReport report(Revision revision, Instant now) const;

private:
    std::optional<Instant> m_confirmedAt;
};

} // namespace Apricothook
