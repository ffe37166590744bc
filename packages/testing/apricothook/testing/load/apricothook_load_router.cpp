#include <apricothook/testing/load/apricothook_load_router.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

namespace Apricothook {

namespace {

constexpr std::uint32_t OtherEntryEvery = 8;
constexpr Duration LoadPollInterval = std::chrono::milliseconds(500);
constexpr Duration FailedLookupPause = std::chrono::milliseconds(500);

} // namespace

EntryRouter::EntryRouter(std::vector<std::string> entries, std::uint32_t callers,
                         std::uint64_t seed)
    : m_seeds(std::move(entries)), m_callers(callers), m_random(seed)
{
}

LoadRoute EntryRouter::route(const LoadKind &kind)
{
    const std::size_t index = m_random() % m_callers.size();
    const Caller &caller = m_callers[index];
    if (caller.entries.empty())
        return {};
    // The first is the ticket's home, as docs/CALLERS.md says; the others are tried now and then.
    const bool isOther = m_random() % OtherEntryEvery == 0;
    const std::string &entry = caller.entries[isOther ? m_random() % caller.entries.size() : 0];
    return {"http://" + entry + "/v1/services/" + kind.service + kind.path, caller.ticket,
            static_cast<int>(index)};
}

void EntryRouter::refresh(LoadClient &client, Instant now)
{
    for (Caller &caller : m_callers) {
        if (caller.isAsking || now < caller.refreshAt)
            continue;
        const auto &known = caller.entries.empty() ? m_seeds : caller.entries;
        LoadCall call;
        call.url = "http://" + known[m_random() % known.size()] + "/v1/entries";
        caller.isAsking = true;
        caller.refreshAt = now + FailedLookupPause;
        client.start(std::move(call),
                     [this, &caller](const LoadAnswer &answer) { take(caller, answer); });
    }
}

void EntryRouter::take(Caller &caller, const LoadAnswer &answer)
{
    caller.isAsking = false;
    const Json::Value document = jsonOf(answer.body);
    if (!answer.isComplete || answer.status != 200 || !document["entries"].isArray()) {
        caller.entries.clear(); // Ask one of the addresses from the command line next.
        return;
    }
    caller.entries.clear();
    for (const Json::Value &entry : document["entries"])
        caller.entries.push_back(entry.asString());
    caller.ticket = document["ticket"].asString();
    caller.refreshAt += std::chrono::seconds(document["keepSeconds"].asInt());
}

bool EntryRouter::isReady() const
{
    for (const Caller &caller : m_callers) {
        if (caller.entries.empty())
            return false;
    }
    return true;
}

BaselineRouter::BaselineRouter(std::vector<SiteTarget> targets, BaselinePolicy policy)
    : m_targets(std::move(targets)), m_policy(policy), m_loads(m_targets.size())
{
}

LoadRoute BaselineRouter::route(const LoadKind &kind)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i].service == kind.service)
            candidates.push_back(i);
    }
    if (candidates.empty())
        return {};
    std::size_t chosen = candidates[m_turns[kind.service]++ % candidates.size()];
    for (const std::size_t candidate : candidates) {
        if (m_policy == BaselinePolicy::LeastLoad && m_loads[candidate] < m_loads[chosen])
            chosen = candidate;
    }
    return {"http://" + m_targets[chosen].address.text() + kind.path, "", static_cast<int>(chosen)};
}

void BaselineRouter::refresh(LoadClient &client, Instant now)
{
    if (m_policy != BaselinePolicy::LeastLoad || now < m_refreshAt)
        return;
    m_refreshAt = now + LoadPollInterval;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (!m_targets[i].isEngine)
            continue;
        LoadCall call;
        call.url = "http://" + m_targets[i].address.text() + "/v1/load";
        client.start(std::move(call), [this, i](const LoadAnswer &answer) {
            const Json::Value document = jsonOf(answer.body);
            if (document.isObject())
                m_loads[i] = document["running"].asUInt64() + document["waiting"].asUInt64();
        });
    }
}

} // namespace Apricothook
