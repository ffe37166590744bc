#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

struct DataCentre
{
    DataCentreId id;
    RegionId region;
    auto operator<=>(const DataCentre &) const = default;
};

/** A daemon of the roster, which determines the homes of keys without a ticket. */
struct RosterEntry
{
    MemberId id;
    DataCentreId dataCentre;
    auto operator<=>(const RosterEntry &) const = default;
};

struct Model
{
    ModelId id;
    std::vector<std::string> adapters;
    std::string version;
    /** Size of the weights in the weight store. */
    std::uint64_t weightBytes = 0;
    auto operator<=>(const Model &) const = default;
};

enum class ServiceKind {
    Engine, ///< Implements the engine protocol of docs/ENGINE-PROTOCOL.md.
    Plain,  ///< Any other HTTP service.
};

struct Service
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    /** Services without which this one can't serve; each needs a live target. */
    std::vector<ServiceId> dependsOn;
    auto operator<=>(const Service &) const = default;
};

enum class EngineRole { Serve, Prefill, Decode };

struct Target
{
    TargetId id;
    ServiceId service;
    Endpoint address;
    VmId vm;
    DataCentreId dataCentre;
    std::string hardwareGeneration;
    /** Requests that the target processes concurrently. */
    std::uint32_t slots = 1;
    /** Capacity of the KV cache in tokens; 0 for plain services. */
    std::uint64_t kvTokens = 0;
    /** Initial estimates in tokens per second, used until measured; 0 for plain services. */
    double prefillRate = 0;
    double decodeRate = 0;
    std::vector<ModelId> models;
    EngineRole role = EngineRole::Serve;
    /** Whether the target rejects orders of unknown senders, and stale fencing tokens. */
    bool checksSender = false;
    bool checksFencing = false;
    auto operator<=>(const Target &) const = default;
};

struct Customer
{
    CustomerId id;
    /** SHA-256 of each bearer token in lower-case hex. */
    std::vector<std::string> keyHashes;
    /** Limit over the whole fleet. */
    double requestsPerSecond = 0;
    std::uint32_t burst = 0;
    /** Weight for sharing a tier with other customers. */
    std::uint32_t weight = 1;
    RegionId homeRegion;
    auto operator<=>(const Customer &) const = default;
};

enum class Repeatability {
    Idempotent,    ///< May be run more than once.
    Deduplicated,  ///< The target runs each key at most once.
    NotRepeatable, ///< Must not be run more than once.
};

struct RequestClass
{
    ClassId id;
    Tier tier;
    Duration patience {};
    Repeatability repeatability = Repeatability::NotRepeatable;
    /** Initial estimate of the answer's length in tokens. */
    std::uint32_t expectedTokens = 256;
    auto operator<=>(const RequestClass &) const = default;
};

/** Limits and intervals that operators may configure. */
struct Policy
{
    /** Time for which a key is remembered; a resend after it counts as a new request. */
    Duration deduplicationWindow = std::chrono::seconds(600);
    /** Time for which callers may cache a lookup's answer. */
    Duration lookupKeep = std::chrono::seconds(10);
    std::uint64_t maximumBodyBytes = 8ULL << 20;
    std::uint32_t maximumConnections = 12000;
    /** Maximum total size of finished answers that a daemon keeps for resends. */
    std::uint64_t keptAnswerBytes = 64ULL << 20;
    /** Maximum number of keys at a home. */
    std::uint32_t keptKeys = 200000;
    std::uint64_t weightStoreBytesPerSecond = 500ULL << 20;
    /** Number of targets per shard. A shard's ledger is kept by one steward. */
    std::uint32_t shardTargets = 8;
    auto operator<=>(const Policy &) const = default;
};

/** The validated fleet text: all references in it resolve. Immutable once applied. */
struct FleetText
{
    Policy policy;
    std::vector<DataCentre> dataCentres;
    std::vector<RosterEntry> roster;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<Target> targets;
    std::vector<Customer> customers;
    std::vector<RequestClass> classes;
    auto operator<=>(const FleetText &) const = default;
};

/** A fleet text and its revision on the platform. */
struct Configuration
{
    Generation generation;
    std::uint64_t textHash = 0;
    FleetText text;
};

} // namespace Apricothook
