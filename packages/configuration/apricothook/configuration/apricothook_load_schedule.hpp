#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Apricothook {

/** Weights that one engine is to have. */
struct Load
{
    TargetId target;
    ModelId model;
    std::string version;
    auto operator<=>(const Load &) const = default;
};

/** Time that the weight store needs for so many bytes at its agreed rate. */
Duration loadTime(std::uint64_t bytes, const Policy &policy);

/** The model of that name; null when the text has none. */
const Model *findModel(const FleetText &text, const ModelId &id);

/**
 * Gives every new load of the fleet its turn, one after another at the weight store's rate. Every
 * daemon computes the same turns from the same texts, so that the fleet keeps the rate without
 * talking about it. The turns of daemons differ by the seconds that a text takes to spread.
 */
class LoadSchedule
{
public:
    /**
     * A text came into force after `previous`. Loads that are still wanted keep their turns; new
     * ones come after them. `previous` is null for a fleet that is new: all its loads take turns.
     */
    void update(const FleetText &current, const FleetText *previous, Generation generation,
                Instant now);
    /** Nothing for a load that the fleet had before this daemon came to know the schedule. */
    std::optional<Instant> turnOf(const Load &load) const;
    /** When the last turn of the model is over; nothing when it has none. */
    std::optional<Instant> endOf(const ModelId &model) const;

private:
    struct Turn
    {
        Instant start {};
        Instant end {};
    };

    std::map<Load, Turn> m_turns;
    /** Asked for each model at each target: without it a text took quadratic time to apply. */
    std::map<ModelId, Instant> m_ends;
    Instant m_end {};
};

} // namespace Apricothook
