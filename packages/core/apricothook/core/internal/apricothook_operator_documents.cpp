#include <apricothook/core/internal/apricothook_operator_documents.hpp>

#include <apricothook/core/internal/apricothook_core_parts.hpp>
#include <apricothook/steward/apricothook_steward_snapshot.hpp>

#include <json/json.h>

namespace Apricothook {

namespace {

std::string hexOf(std::uint64_t number)
{
    constexpr int Digits = 16;
    constexpr int BitsPerDigit = 4;
    std::string text(Digits, '0');
    for (int i = Digits - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = "0123456789abcdef"[number & 15];
        number >>= BitsPerDigit;
    }
    return text;
}

std::string written(const Json::Value &document)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, document);
}

const char *nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

Json::Value membersOf(const CoreParts &parts)
{
    Json::Value members(Json::arrayValue);
    for (const MemberUpdate &update : parts.members.live()) {
        Json::Value member;
        member["id"] = update.instance.member.text();
        member["state"] = nameOf(update.state);
        member["incarnation"] = Json::UInt64(update.instance.incarnation.value());
        member["dataCentre"] = update.dataCentre.text();
        member["address"] = update.callerAddress.text();
        const bool isSelf = update.instance == parts.members.self();
        const std::optional<StateDigest> digest
            = isSelf ? parts.keeper.digest() : parts.members.digestOf(update.instance.member);
        if (digest)
            member["generation"] = Json::UInt64(digest->generation.value());
        members.append(member);
    }
    return members;
}

Json::Value targetOf(const CoreParts &parts, const ShardId &shard, const TargetSnapshot &snapshot)
{
    Json::Value target;
    target["id"] = snapshot.target.text();
    target["service"] = shard.service.text();
    target["steward"] = parts.members.self().member.text();
    target["running"] = snapshot.running;
    target["slots"] = snapshot.usableSlots;
    target["state"] = std::string(nameOf(snapshot.condition));
    target["prefillRate"] = snapshot.prefillRate;
    target["decodeRate"] = snapshot.decodeRate;
    target["stragglerFactor"] = snapshot.stragglerFactor;
    return target;
}

/** Targets of shards that others keep: only their steward is known here. */
void appendOthers(const CoreParts &parts, Json::Value &targets)
{
    if (parts.steward.shardMap() == nullptr)
        return;
    for (const auto &[id, shard] : parts.steward.shardMap()->shards()) {
        const MemberId steward = parts.steward.shardMap()->stewardOf(id, parts.members);
        if (steward == parts.members.self().member)
            continue;
        for (const Target &of : shard.targets) {
            Json::Value target;
            target["id"] = of.id.text();
            target["service"] = id.service.text();
            target["steward"] = steward.text();
            targets.append(target);
        }
    }
}

} // namespace

std::string statusDocument(const CoreParts &parts, Instant now)
{
    Json::Value document;
    document["member"] = parts.members.self().member.text();
    document["incarnation"] = Json::UInt64(parts.members.self().incarnation.value());
    document["generation"] = Json::UInt64(parts.keeper.digest().generation.value());
    document["textHash"] = hexOf(parts.keeper.digest().textHash);
    document["members"] = membersOf(parts);
    document["exchanges"] = Json::UInt64(parts.flow.activeExchanges());
    document["keptKeys"] = Json::UInt64(parts.keyHome.keptKeys());
    document["visibleShare"] = parts.members.visibleShare();
    Json::Value targets(Json::arrayValue);
    Json::Value floors(Json::arrayValue);
    for (const ShardSnapshot &shard : parts.steward.snapshot(now)) {
        Json::Value floor;
        floor["service"] = shard.shard.service.text();
        floor["shard"] = shard.shard.index;
        floor["floor"] = shard.floor.rank();
        for (const std::uint32_t queued : shard.queued)
            floor["queued"].append(queued);
        floors.append(floor);
        for (const TargetSnapshot &target : shard.targets)
            targets.append(targetOf(parts, shard.shard, target));
    }
    appendOthers(parts, targets);
    document["targets"] = targets;
    document["floors"] = floors;
    return written(document);
}

std::string explainDocument(const ExplainLog &log, const RequestKey &callerKey)
{
    Json::Value document;
    document["key"] = callerKey.text();
    document["steps"] = Json::Value(Json::arrayValue);
    for (const ExplainedStep &step : log.explain(callerKey)) {
        Json::Value entry;
        entry["atMilliseconds"] = static_cast<double>(step.at.count()) / 1000;
        entry["event"] = step.number;
        entry["details"] = step.details;
        document["steps"].append(entry);
    }
    return written(document);
}

std::string entriesDocument(const LookupAnswer &answer, const std::string &ticket)
{
    Json::Value document;
    document["entries"] = Json::Value(Json::arrayValue);
    for (const Endpoint &entry : answer.entries)
        document["entries"].append(entry.text());
    const auto keep = std::chrono::duration_cast<std::chrono::seconds>(answer.keep);
    document["keepSeconds"] = Json::Int64(keep.count());
    document["ticket"] = ticket;
    return written(document);
}

} // namespace Apricothook
