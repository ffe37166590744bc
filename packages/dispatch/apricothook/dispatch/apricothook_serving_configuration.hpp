#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** A service of a route and its share of the route's requests. */
struct WeightedService
{
    ServiceId service;
    double weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/** Where requests of one host below one path prefix go, and what may be done with them. */
struct RouteRule
{
    ClassId name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    std::vector<WeightedService> services;
    Tier tier;
    /** From arrival to the final answer. */
    Duration timeout {};
    /** Answers within it are worth most; streams are measured by their first event. */
    Duration objective {};
    /** Longest pause between events of a stream that is still on time. */
    Duration gapObjective {};
    /** Targets that may run one request. */
    unsigned maximumAttempts = 1;
    bool isStream = false;
    /** A second run does no harm. */
    bool isIdempotent = false;
    /** Another target can go on after the last event. */
    bool isResumable = false;
    /** Needs no customer's key. */
    bool isPublic = false;

    /** A request that was sent to one target may be sent to another. */
    bool isRetryable() const { return isStream ? isResumable : isIdempotent; }
    auto operator<=>(const RouteRule &) const = default;
};

struct ServiceRule
{
    ServiceId name;
    /** A language model engine; else a plain service. */
    bool isEngine = false;
    /** Output tokens in one event of an engine's stream. */
    std::uint32_t tokensPerEvent = 1;
    /** Connections that one target accepts from all daemons. */
    std::uint32_t maximumConnections = 0;
    /** A target that has just started is cold for so long. */
    Duration coldTime {};
    /** Requests a second that a cold target bears; zero where it bears as many as a warm one. */
    double coldPerSecond = 0;

    auto operator<=>(const ServiceRule &) const = default;
};

/** What a customer's limit counts. */
enum class LimitUnit { Requests, Tokens };

struct CustomerRule
{
    CustomerId name;
    std::vector<std::string> keys;
    /** Goes before the route's tier. */
    std::optional<Tier> tier;
    LimitUnit unit = LimitUnit::Requests;
    /** What a request counts that states no tokens. */
    std::uint64_t defaultTokens = 0;
    /** Units a second over the whole fleet; zero means no limit. */
    double ratePerSecond = 0;
    double burst = 0;

    auto operator<=>(const CustomerRule &) const = default;
};

/** What callers may send and how long they may take. */
struct CallerBounds
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerBounds &) const = default;
};

/** A released configuration as requests are served under it. */
struct ServingConfiguration
{
    Generation generation;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    std::vector<CustomerRule> customers;
    CallerBounds limits;

    auto operator<=>(const ServingConfiguration &) const = default;
};

/**
 * One start of a target. A target that starts again under its id holds and knows nothing of what
 * the start before it was sent.
 */
struct TargetInstance
{
    TargetId id;
    /** Milliseconds since 1970; zero while the target doesn't tell it. */
    std::uint64_t startedAt = 0;

    auto operator<=>(const TargetInstance &) const = default;
};

/** A target as it registered itself. */
struct TargetEntry
{
    TargetId id;
    /** As in TargetInstance. */
    std::uint64_t startedAt = 0;
    /** Grows with each write of this start; a write may take effect after later ones. */
    std::uint64_t sequence = 0;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    /** Requests that it works on at once. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** When it wrote this, it was still cold for so long. */
    Duration remainingColdTime {};

    TargetInstance instance() const { return {id, startedAt}; }
    auto operator<=>(const TargetEntry &) const = default;
};

/** The limits of the fleet's own behaviour, from the settings. */
struct FleetBounds
{
    /** Repeated sends of a service in `retryWindow`: ratio times its requests, plus the slack. */
    double retryRatio = 0.2;
    double retrySlack = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /**
     * Units of a customer in any `customerWindow`: what its rate and burst give, times one and the
     * overshoot, plus the slack.
     */
    Duration customerWindow = std::chrono::seconds(8);
    double customerOvershoot = 0;
    double customerSlack = 0;
    /** Requests that a cold target may get in any second: its rate times this, plus the slack. */
    double coldOvershoot = 1;
    double coldSlack = 0;
    /** A target writes its entry once in it. */
    Duration entryInterval = std::chrono::milliseconds(1200);
    /** Within it, what is published is in force at every daemon. */
    Duration applyTimeout = std::chrono::seconds(2);
    /** How long a stopping daemon may live on. */
    Duration grace = std::chrono::seconds(8);
    /** Longest time for which a lookup's answer may be kept. */
    Duration lookupTtl = std::chrono::seconds(5);

    auto operator<=>(const FleetBounds &) const = default;
};

} // namespace Apricothook
