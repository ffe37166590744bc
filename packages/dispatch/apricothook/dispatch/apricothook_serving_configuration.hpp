#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <map>
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

/** Which services requests of a host and path prefix go to, and how they may be handled. */
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
    /** Answers within this time have the highest value; for streams the first event counts. */
    Duration objective {};
    /** Longest gap between events of a stream that is still on time. */
    Duration gapObjective {};
    /** Number of targets that may run one request. */
    unsigned maximumAttempts = 1;
    bool isStream = false;
    /** Running the request twice does no harm. */
    bool isIdempotent = false;
    /** Another target can continue after the last event. */
    bool isResumable = false;
    /** No customer key is required. */
    bool isPublic = false;

    /** Whether a request that was sent to one target may be sent to another. */
    bool isRetryable() const { return isStream ? isResumable : isIdempotent; }
    auto operator<=>(const RouteRule &) const = default;
};

struct ServiceRule
{
    ServiceId name;
    /** A language model engine; otherwise a plain service. */
    bool isEngine = false;
    /** Output tokens per event of an engine's stream. */
    std::uint32_t tokensPerEvent = 1;
    /** Connections that one target accepts from all daemons together. */
    std::uint32_t maximumConnections = 0;
    /** Time for which a target is cold after its start. */
    Duration coldTime {};
    /**
     * Requests per second that a cold target can handle; zero if it handles as many as a warm one.
     */
    double coldPerSecond = 0;

    auto operator<=>(const ServiceRule &) const = default;
};

/** What a customer's limit counts. */
enum class LimitUnit { Requests, Tokens };

struct CustomerRule
{
    CustomerId name;
    std::vector<std::string> keys;
    /** Compared before the route's tier. */
    std::optional<Tier> tier;
    LimitUnit unit = LimitUnit::Requests;
    /** Tokens that a request counts if it states none. */
    std::uint64_t defaultTokens = 0;
    /** Units per second across the whole fleet; zero means no limit. */
    double ratePerSecond = 0;
    double burst = 0;

    auto operator<=>(const CustomerRule &) const = default;
};

/** Limits on the size and duration of callers' requests. */
struct CallerBounds
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerBounds &) const = default;
};

/** A released configuration in the form in which requests are served under it. */
struct ServingConfiguration
{
    Generation generation;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    std::vector<CustomerRule> customers;
    CallerBounds limits;

    auto operator<=>(const ServingConfiguration &) const = default;
};

/** The shortest gap objective of each service's streams, where routes state one. */
std::map<ServiceId, Duration> gapObjectivesOf(const ServingConfiguration &configuration);

/**
 * One instance of a target: the time from a start of its process to the next. An instance has no
 * state and no requests of the one before it.
 */
struct TargetInstance
{
    TargetId id;
    /** Milliseconds since 1970; zero if the target doesn't report it. */
    std::uint64_t startedAt = 0;

    auto operator<=>(const TargetInstance &) const = default;
};

/** A target's registration of itself. */
struct TargetEntry
{
    TargetId id;
    /** As in TargetInstance. */
    std::uint64_t startedAt = 0;
    /** Increases with each write of this instance; a write may take effect after later ones. */
    std::uint64_t sequence = 0;
    ServiceId service;
    TargetVersion version;
    Endpoint address;
    DataCentreId dataCentre;
    /** Requests that the target runs concurrently. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** Remaining time for which the target is cold, as of the write of this entry. */
    Duration remainingColdTime {};

    TargetInstance instance() const { return {id, startedAt}; }
    auto operator<=>(const TargetEntry &) const = default;
};

/** Limits on the behaviour of the whole fleet, from the settings. */
struct FleetBounds
{
    /** Retries of a service within `retryWindow`: ratio times its requests, plus the slack. */
    double retryRatio = 0.2;
    double retrySlack = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /**
     * Units of a customer in any `customerWindow`: what its rate and burst allow, multiplied by one
     * plus the overshoot, plus the slack.
     */
    Duration customerWindow = std::chrono::seconds(8);
    double customerOvershoot = 0;
    double customerSlack = 0;
    /**
     * Requests that a cold target may receive in any second: its rate times this, plus the slack.
     */
    double coldOvershoot = 1;
    double coldSlack = 0;
    /**
     * Requests that a target which names a limit may receive in any `targetLimitWindow`: what the
     * limit allows, multiplied by one plus the overshoot, plus the slack.
     */
    Duration targetLimitWindow = std::chrono::seconds(4);
    double targetLimitOvershoot = 0.5;
    double targetLimitSlack = 5;
    /** Interval at which a target writes its entry. */
    Duration entryInterval = std::chrono::milliseconds(1200);
    /** Time within which published state takes effect at every daemon. */
    Duration applyTimeout = std::chrono::seconds(2);
    /** Time for which a stopping daemon may stay alive. */
    Duration grace = std::chrono::seconds(8);
    /** Longest time for which a lookup's answer may be cached. */
    Duration lookupTtl = std::chrono::seconds(5);

    auto operator<=>(const FleetBounds &) const = default;
};

} // namespace Apricothook
