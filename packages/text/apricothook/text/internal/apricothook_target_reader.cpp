#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <optional>
#include <utility>

namespace Apricothook {

namespace {

constexpr Bounds<std::uint64_t> SlotBounds {1, 100'000};
constexpr Bounds<std::uint64_t> KvTokenBounds {1, 1'000'000'000};
constexpr Bounds<double> RateBounds {0.001, 100'000'000};

constexpr Word<EngineRole> RoleWords[] = {
    {"serve", EngineRole::Serve},
    {"prefill", EngineRole::Prefill},
    {"decode", EngineRole::Decode},
};

constexpr std::string_view EngineKeys[] = {
    "kvTokens", "prefillTokensPerSecond", "decodeTokensPerSecond", "models", "role",
};

/** Reads targets in their order, as one may be written like an earlier one. */
class TargetReader
{
public:
    explicit TargetReader(TextReferences &references) : m_references(references) { }

    void read(ObjectReader &entry)
    {
        Target target;
        const Need need = takeLikeness(entry, target);
        const ServiceId likeService = target.service;
        const bool hasId = entry.readNewName("id", target.id, m_references.targets);
        readPlace(entry, target, need);
        entry.readName("hardwareGeneration", target.hardwareGeneration, Need::Optional);
        entry.readWhole("slots", target.slots, SlotBounds, need);
        entry.readFlag("checksSender", target.checksSender, Need::Optional);
        entry.readFlag("checksFencing", target.checksFencing, Need::Optional);
        readKind(entry, target, need, likeService);
        if (hasId)
            m_indices.emplace(target.id, m_targets.size());
        m_targets.push_back(std::move(target));
    }

    std::vector<Target> take() { return std::move(m_targets); }

private:
    /** Copies all but what only one target can have; the rest is required without a likeness. */
    Need takeLikeness(ObjectReader &entry, Target &target)
    {
        if (!entry.has("like"))
            return Need::Required;
        TargetId like;
        if (!entry.readName("like", like, Need::Optional))
            return Need::Optional;
        const auto found = m_indices.find(like);
        if (found == m_indices.end()) {
            entry.refuse("like", TextRule::UnknownReference,
                         "there is no target " + inQuotes(like.text()) + " before this one");
            return Need::Optional;
        }
        target = m_targets[found->second];
        target.id = {};
        target.vm = {};
        target.address = {};
        return Need::Optional;
    }

    void readPlace(ObjectReader &entry, Target &target, Need need)
    {
        entry.readReference("service", target.service, m_references.services, need);
        readAddress(entry, target);
        if (!entry.readName("vm", target.vm, Need::Optional))
            target.vm = VmId(target.id.text());
        if (entry.readReference("dataCentre", target.dataCentre, m_references.dataCentres, need))
            checkRegion(entry, target);
    }

    void readAddress(ObjectReader &entry, Target &target)
    {
        if (!entry.readEndpoint("address", target.address, Need::Required))
            return;
        if (isUnspecified(target.address))
            entry.refuse("address", TextRule::MalformedEndpoint, "nobody can connect there");
        const auto [other, isNew] = m_references.addresses.emplace(target.address, target.id);
        if (!isNew)
            entry.refuse("address", TextRule::DuplicateEndpoint,
                         "target " + inQuotes(other->second.text()) + " has it already");
    }

    /** Stewards live in their target's region; without a daemon there nobody would give it work. */
    void checkRegion(ObjectReader &entry, const Target &target)
    {
        const auto region = m_references.regionOf.find(target.dataCentre);
        if (region == m_references.regionOf.end() || m_references.regionsWithDaemon.empty()
            || m_references.regionsWithDaemon.contains(region->second))
            return;
        entry.refuse("dataCentre", TextRule::RegionWithoutDaemon,
                     "region " + inQuotes(region->second.text()) + " has no daemon in the roster");
    }

    std::optional<ServiceKind> kindOf(const ServiceId &service) const
    {
        const auto kind = m_references.kindOf.find(service);
        return kind != m_references.kindOf.end() ? std::optional(kind->second) : std::nullopt;
    }

    void readKind(ObjectReader &entry, Target &target, Need need, const ServiceId &likeService)
    {
        const std::optional<ServiceKind> kind = kindOf(target.service);
        const std::optional<ServiceKind> likeKind = kindOf(likeService);
        if (kind && likeKind && kind != likeKind)
            entry.refuse("like", TextRule::LikeOtherKind,
                         "a target of an engine service isn't like one of a plain service");
        if (kind == ServiceKind::Plain)
            refuseEngineKeys(entry, target);
        else
            readEngine(entry, target, kind ? need : Need::Optional);
    }

    void readEngine(ObjectReader &entry, Target &target, Need need)
    {
        entry.readWhole("kvTokens", target.kvTokens, KvTokenBounds, need);
        entry.readReal("prefillTokensPerSecond", target.prefillRate, RateBounds, need);
        entry.readReal("decodeTokensPerSecond", target.decodeRate, RateBounds, need);
        const bool hasModels
            = entry.readReferences("models", target.models, m_references.models, need);
        entry.readWord("role", target.role, RoleWords, Need::Optional);
        if (hasModels && entry.isEmptyList("models"))
            entry.refuse("models", TextRule::EngineWithoutModel, "an engine serves a model");
    }

    static void refuseEngineKeys(ObjectReader &entry, const Target &target)
    {
        const std::string detail
            = "service " + inQuotes(target.service.text()) + " is plain and takes no such key";
        for (const std::string_view key : EngineKeys) {
            if (entry.has(key))
                entry.refuse(key, TextRule::EngineKeyOnPlain, detail);
        }
    }

    TextReferences &m_references;
    std::vector<Target> m_targets;
    std::map<TargetId, std::size_t> m_indices;
};

} // namespace

std::vector<Target> readTargets(ObjectReader &root, TextReferences &references)
{
    TargetReader reader(references);
    root.forEachObject("targets", Need::Required, [&](ObjectReader &entry) { reader.read(entry); });
    return reader.take();
}

} // namespace Apricothook
