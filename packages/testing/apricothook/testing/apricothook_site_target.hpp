#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/testing/apricothook_engine_options.hpp>

#include <string>
#include <vector>

namespace Apricothook {

/** A target of a fleet text, as far as a stand-in for it needs to know. */
struct SiteTarget
{
    std::string service;
    std::string vm;
    Endpoint address;
    bool isEngine = false;
    /** Takes orders only from whoever knows the token that the stand-in was started with. */
    bool checksSender = false;
    /** Its id and, for an engine, its speed. */
    EngineOptions engine;
};

/**
 * The targets of a fleet text in its order, with "like" filled in. For stand-ins alone: reads
 * without any check, since `apricothook check` does that. Empty where the text isn't JSON.
 */
std::vector<SiteTarget> siteTargets(const std::string &fleetText);

} // namespace Apricothook
