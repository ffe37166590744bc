#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace Apricothook {

/** How an engine stand-in behaves while nothing is wrong. */
struct EngineOptions
{
    std::string id = "engine";
    /** Tokens per second, shared by all prompts that are being read. */
    double prefillRate = 8000;
    /** Tokens per second of a stream that runs alone. */
    double decodeRate = 60;
    /** Part of the decode rate that a stream loses when every slot is taken. */
    double fullBatchSlowdown = 0.5;
    std::uint32_t slots = 16;
    /** Requests that wait inside the engine; more are refused as not run. */
    std::uint32_t waitingLimit = 1000;
    /** Memory of the prefix cache, and the total in load reports. */
    std::uint64_t kvTokens = 65536;
    /** Models it has; empty: any. */
    std::set<std::string> models;
    Duration loadLag = std::chrono::milliseconds(500);
    Duration cacheEventLag = std::chrono::milliseconds(500);
    /** Chance that a cache event goes missing. */
    double cacheEventGap = 0.02;
    std::uint64_t seed = 1;
    bool checksFencing = false;
    /** Orders without this bearer token get 401; empty: anybody may give orders. */
    std::string senderToken;
    /** A prompt that contains it crashes the engine when its prefill begins; empty: none. */
    std::string crashMarker = "CRASH-THE-ENGINE";
    /** How long an engine that crashed closes every connection. */
    Duration restartTime = std::chrono::seconds(1);
};

/** What is wrong with an engine; set by control calls at run time. */
struct EngineFaults
{
    /** Work takes this many times as long. */
    double straggler = 1;
    /** The next `kills` answers are closed after `killAfterBytes` bytes. */
    std::uint32_t kills = 0;
    /** Chance that an answer is closed after `killAfterBytes` bytes. */
    double killChance = 0;
    std::uint64_t killAfterBytes = 200;
    /** Answers stay open and bring nothing until this is lifted. */
    bool isStalled = false;
    /** Completions are refused as not run. */
    bool isRefusing = false;
    /** Every connection is closed without an answer; work goes on inside. */
    bool isDown = false;
};

} // namespace Apricothook
