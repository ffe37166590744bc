#include <apricothook/configuration/apricothook_load_schedule.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace Apricothook {

namespace {

std::set<Load> loadsOf(const FleetText &text)
{
    std::set<Load> loads;
    for (const Target &target : text.targets) {
        for (const ModelId &id : target.models) {
            if (const Model *model = findModel(text, id))
                loads.insert({target.id, id, model->version});
        }
    }
    return loads;
}

/** An order that mixes the services, so that none gets all of its loads last. */
std::vector<Load> mixed(const std::set<Load> &loads, Generation generation)
{
    std::vector<std::pair<std::uint64_t, Load>> weighted;
    for (const Load &load : loads) {
        const std::string name = load.target.text() + '/' + load.model.text();
        weighted.emplace_back(hashOf(name, generation.value()), load);
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<Load> sorted;
    sorted.reserve(weighted.size());
    for (auto &[weight, load] : weighted)
        sorted.push_back(std::move(load));
    return sorted;
}

} // namespace

Duration loadTime(std::uint64_t bytes, const Policy &policy)
{
    const auto rate = std::max<std::uint64_t>(policy.weightStoreBytesPerSecond, 1);
    const std::chrono::duration<double> seconds(static_cast<double>(bytes)
                                                / static_cast<double>(rate));
    return std::chrono::duration_cast<Duration>(seconds);
}

const Model *findModel(const FleetText &text, const ModelId &id)
{
    const auto found = std::find_if(text.models.begin(), text.models.end(),
                                    [&id](const Model &model) { return model.id == id; });
    return found == text.models.end() ? nullptr : &*found;
}

void LoadSchedule::update(const FleetText &current, const FleetText *previous,
                          Generation generation, Instant now)
{
    const std::set<Load> wanted = loadsOf(current);
    const std::set<Load> known = previous ? loadsOf(*previous) : std::set<Load>();
    std::erase_if(m_turns, [&wanted](const auto &turn) { return !wanted.contains(turn.first); });

    std::set<Load> fresh;
    std::set_difference(wanted.begin(), wanted.end(), known.begin(), known.end(),
                        std::inserter(fresh, fresh.end()));
    // With some hundred changes a day a schedule of hours is still running when the next text
    // comes: starting the new loads at once would draw twice the agreed rate.
    m_end = std::max(m_end, now);
    for (const Load &load : mixed(fresh, generation)) {
        const Instant start = m_end;
        m_end += loadTime(findModel(current, load.model)->weightBytes, current.policy);
        m_turns[load] = {start, m_end};
    }
    m_ends.clear();
    for (const auto &[load, turn] : m_turns) {
        Instant &end = m_ends.try_emplace(load.model, turn.end).first->second;
        end = std::max(end, turn.end);
    }
}

std::optional<Instant> LoadSchedule::turnOf(const Load &load) const
{
    const auto turn = m_turns.find(load);
    return turn == m_turns.end() ? std::nullopt : std::optional(turn->second.start);
}

std::optional<Instant> LoadSchedule::endOf(const ModelId &model) const
{
    const auto end = m_ends.find(model);
    return end == m_ends.end() ? std::nullopt : std::optional(end->second);
}

} // namespace Apricothook
