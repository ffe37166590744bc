#include <apricothook/testing/apricothook_site_target.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <map>

namespace Apricothook {

namespace {

/** The members of `target`, and those of the target that it is like. */
Json::Value filledIn(const Json::Value &target, const std::map<std::string, Json::Value> &known)
{
    const auto like = known.find(target["like"].asString());
    if (like == known.end())
        return target;
    Json::Value filled = like->second;
    for (const std::string &member : target.getMemberNames())
        filled[member] = target[member];
    return filled;
}

SiteTarget targetOf(const Json::Value &document, bool isEngine)
{
    SiteTarget target;
    target.service = document["service"].asString();
    target.vm = document["vm"].asString();
    target.address = parseEndpoint(document["address"].asString()).value_or(Endpoint());
    target.isEngine = isEngine;
    target.engine.id = document["id"].asString();
    target.engine.seed = target.address.port;
    take(document, "slots", target.engine.slots);
    take(document, "kvTokens", target.engine.kvTokens);
    take(document, "prefillTokensPerSecond", target.engine.prefillRate);
    take(document, "decodeTokensPerSecond", target.engine.decodeRate);
    take(document, "checksSender", target.checksSender);
    take(document, "checksFencing", target.engine.checksFencing);
    for (const Json::Value &model : document["models"])
        target.engine.models.insert(model.asString());
    return target;
}

} // namespace

std::vector<SiteTarget> siteTargets(const std::string &fleetText)
{
    const Json::Value document = jsonOf(fleetText);
    std::map<std::string, bool> isEngine;
    for (const Json::Value &service : document["services"])
        isEngine[service["id"].asString()] = service["kind"].asString() == "engine";
    std::map<std::string, Json::Value> known;
    std::vector<SiteTarget> targets;
    for (const Json::Value &written : document["targets"]) {
        const Json::Value target = filledIn(written, known);
        known[target["id"].asString()] = target;
        targets.push_back(targetOf(target, isEngine[target["service"].asString()]));
    }
    return targets;
}

} // namespace Apricothook
