#include <apricothook/text/apricothook_text_difference.hpp>

#include <apricothook/text/internal/apricothook_key_changes.hpp>

#include <algorithm>
#include <map>

namespace Apricothook {

namespace {

using ChangeList = std::vector<TextChange>;

std::string writingOf(ServiceKind kind)
{
    return kind == ServiceKind::Engine ? "engine" : "plain";
}

std::string writingOf(EngineRole role)
{
    if (role == EngineRole::Prefill)
        return "prefill";
    return role == EngineRole::Decode ? "decode" : "serve";
}

std::string writingOf(Repeatability repeatability)
{
    if (repeatability == Repeatability::Idempotent)
        return "idempotent";
    return repeatability == Repeatability::Deduplicated ? "deduplicated" : "not-repeatable";
}

/** The words of an enumeration compare as the strings they are written as. */
template <typename Value>
void compareWords(KeyChanges &changes, std::string_view key, Value before, Value after,
                  std::initializer_list<ChangeEffect> effects = {})
{
    changes.compare(key, writingOf(before), writingOf(after), effects);
}

template <typename Value>
std::vector<Value> sorted(std::vector<Value> values)
{
    std::sort(values.begin(), values.end());
    return values;
}

template <typename Entry>
std::map<std::string, const Entry *> byName(const std::vector<Entry> &entries)
{
    std::map<std::string, const Entry *> found;
    for (const Entry &entry : entries)
        found.emplace(entry.id.text(), &entry);
    return found;
}

/**
 * Compares the entries of one section by name. The comparison gets the entry before and after;
 * one of the two is null when the entry is added or removed.
 */
template <typename Entry, typename Comparison>
void compareSection(ChangeList &list, TextSection section, const std::vector<Entry> &before,
                    const std::vector<Entry> &after, const Comparison &comparison)
{
    const std::map<std::string, const Entry *> old = byName(before);
    const std::map<std::string, const Entry *> fresh = byName(after);
    for (const auto &[name, entry] : old) {
        if (fresh.contains(name))
            continue;
        KeyChanges changes;
        comparison(changes, entry, static_cast<const Entry *>(nullptr));
        list.push_back(changes.take(section, ChangeKind::Removed, name));
    }
    for (const auto &[name, entry] : fresh) {
        const auto found = old.find(name);
        const Entry *earlier = found != old.end() ? found->second : nullptr;
        KeyChanges changes;
        comparison(changes, earlier, entry);
        if (!earlier)
            list.push_back(changes.take(section, ChangeKind::Added, name));
        else if (!changes.isEmpty())
            list.push_back(changes.take(section, ChangeKind::Changed, name));
    }
}

void comparePolicy(ChangeList &list, const Policy &before, const Policy &after)
{
    constexpr ChangeEffect Limits = ChangeEffect::ChangesLimits;
    KeyChanges changes;
    changes.compare("deduplicationWindowSeconds", before.deduplicationWindow,
                    after.deduplicationWindow);
    changes.compare("lookupKeepSeconds", before.lookupKeep, after.lookupKeep);
    changes.compare("maximumBodyBytes", before.maximumBodyBytes, after.maximumBodyBytes, {Limits});
    changes.compare("maximumConnections", before.maximumConnections, after.maximumConnections,
                    {Limits});
    changes.compare("keptAnswerBytes", before.keptAnswerBytes, after.keptAnswerBytes, {Limits});
    changes.compare("keptKeys", before.keptKeys, after.keptKeys, {Limits});
    changes.compare("weightStoreBytesPerSecond", before.weightStoreBytesPerSecond,
                    after.weightStoreBytesPerSecond);
    changes.compare("shardTargets", before.shardTargets, after.shardTargets);
    if (!changes.isEmpty())
        list.push_back(changes.take(TextSection::Policy, ChangeKind::Changed, {}));
}

void compareDataCentre(KeyChanges &changes, const DataCentre *before, const DataCentre *after)
{
    if (before && after)
        changes.compare("region", before->region, after->region, {ChangeEffect::MovesHomes});
}

void compareDaemon(KeyChanges &changes, const RosterEntry *before, const RosterEntry *after)
{
    if (before && after)
        changes.compare("dataCentre", before->dataCentre, after->dataCentre,
                        {ChangeEffect::MovesHomes});
    else
        changes.add(ChangeEffect::MovesHomes);
}

void compareModel(KeyChanges &changes, const Model *before, const Model *after)
{
    if (!before || !after)
        return;
    changes.compare("version", before->version, after->version);
    changes.compare("weightBytes", before->weightBytes, after->weightBytes);
    changes.compare("adapters", sorted(before->adapters), sorted(after->adapters));
}

void compareService(KeyChanges &changes, const Service *before, const Service *after)
{
    if (!before || !after)
        return;
    compareWords(changes, "kind", before->kind, after->kind);
    changes.compare("dependsOn", sorted(before->dependsOn), sorted(after->dependsOn));
}

void compareCustomer(KeyChanges &changes, const Customer *before, const Customer *after)
{
    if (!before || !after) {
        changes.add(ChangeEffect::ChangesTrust);
        return;
    }
    changes.compare("keyHashes", sorted(before->keyHashes), sorted(after->keyHashes),
                    {ChangeEffect::ChangesTrust});
    changes.compare("requestsPerSecond", before->requestsPerSecond, after->requestsPerSecond,
                    {ChangeEffect::ChangesLimits});
    changes.compare("burst", before->burst, after->burst, {ChangeEffect::ChangesLimits});
    changes.compare("weight", before->weight, after->weight, {ChangeEffect::ChangesLimits});
    changes.compare("homeRegion", before->homeRegion, after->homeRegion,
                    {ChangeEffect::MovesHomes});
}

void compareClass(KeyChanges &changes, const RequestClass *before, const RequestClass *after)
{
    if (!before || !after)
        return;
    changes.compare("tier", before->tier, after->tier, {ChangeEffect::ChangesTiers});
    changes.compare("patienceSeconds", before->patience, after->patience);
    compareWords(changes, "repeatability", before->repeatability, after->repeatability);
    changes.compare("expectedTokens", before->expectedTokens, after->expectedTokens);
}

/** Compares targets, with the models of both texts at hand to tell what must be loaded. */
class TargetComparison
{
public:
    TargetComparison(const FleetText &before, const FleetText &after)
        : m_modelsBefore(byName(before.models)), m_modelsAfter(byName(after.models))
    {
    }

    void operator()(KeyChanges &changes, const Target *before, const Target *after) const
    {
        if (!after) {
            changes.add(ChangeEffect::Drains);
            return;
        }
        if (before)
            compareKeys(changes, *before, *after);
        addLoads(changes, before, *after);
    }

private:
    /** A target that moves is another process: the old one drains as if it were removed. */
    static void compareKeys(KeyChanges &changes, const Target &before, const Target &after)
    {
        constexpr ChangeEffect Drains = ChangeEffect::Drains;
        changes.compare("service", before.service, after.service, {Drains});
        changes.compare("address", before.address, after.address, {Drains});
        changes.compare("vm", before.vm, after.vm, {Drains});
        changes.compare("dataCentre", before.dataCentre, after.dataCentre, {Drains});
        changes.compare("hardwareGeneration", before.hardwareGeneration, after.hardwareGeneration);
        changes.compare("slots", before.slots, after.slots, {ChangeEffect::ChangesLimits});
        changes.compare("kvTokens", before.kvTokens, after.kvTokens, {ChangeEffect::ChangesLimits});
        changes.compare("prefillTokensPerSecond", before.prefillRate, after.prefillRate);
        changes.compare("decodeTokensPerSecond", before.decodeRate, after.decodeRate);
        changes.compare("models", sorted(before.models), sorted(after.models));
        compareWords(changes, "role", before.role, after.role);
        changes.compare("checksSender", before.checksSender, after.checksSender);
        changes.compare("checksFencing", before.checksFencing, after.checksFencing);
        const bool givesUp
            = std::any_of(before.models.begin(), before.models.end(),
                          [&](const ModelId &model) { return !contains(after.models, model); });
        if (givesUp)
            changes.add(ChangeEffect::Unloads);
    }

    void addLoads(KeyChanges &changes, const Target *before, const Target &after) const
    {
        const bool isSameProcess = before && before->address == after.address;
        for (const ModelId &model : after.models) {
            const bool hasIt = isSameProcess && contains(before->models, model);
            if (!hasIt || isOtherVersion(model))
                changes.add(
                    ModelLoad {after.id, model, m_modelsAfter.at(model.text())->weightBytes});
        }
    }

    bool isOtherVersion(const ModelId &model) const
    {
        const auto old = m_modelsBefore.find(model.text());
        return old == m_modelsBefore.end()
            || old->second->version != m_modelsAfter.at(model.text())->version;
    }

    static bool contains(const std::vector<ModelId> &models, const ModelId &model)
    {
        return std::find(models.begin(), models.end(), model) != models.end();
    }

    std::map<std::string, const Model *> m_modelsBefore;
    std::map<std::string, const Model *> m_modelsAfter;
};

} // namespace

std::vector<TextChange> differenceOf(const FleetText &before, const FleetText &after)
{
    ChangeList list;
    comparePolicy(list, before.policy, after.policy);
    compareSection(list, TextSection::DataCentre, before.dataCentres, after.dataCentres,
                   compareDataCentre);
    compareSection(list, TextSection::Roster, before.roster, after.roster, compareDaemon);
    compareSection(list, TextSection::Model, before.models, after.models, compareModel);
    compareSection(list, TextSection::Service, before.services, after.services, compareService);
    compareSection(list, TextSection::Target, before.targets, after.targets,
                   TargetComparison(before, after));
    compareSection(list, TextSection::Customer, before.customers, after.customers, compareCustomer);
    compareSection(list, TextSection::Class, before.classes, after.classes, compareClass);
    return list;
}

DifferenceSummary summaryOf(const std::vector<TextChange> &changes, const Policy &policy)
{
    DifferenceSummary summary;
    summary.changes = changes.size();
    for (const TextChange &change : changes) {
        summary.targetsToDrain += static_cast<std::size_t>(
            std::count(change.effects.begin(), change.effects.end(), ChangeEffect::Drains));
        summary.loads += change.loads.size();
        for (const ModelLoad &load : change.loads)
            summary.loadBytes += load.weightBytes;
    }
    const double seconds = static_cast<double>(summary.loadBytes)
        / static_cast<double>(policy.weightStoreBytesPerSecond);
    summary.leastLoadTime = std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
    return summary;
}

} // namespace Apricothook
