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

/** A daemon of the roster. The roster decides the homes of keys without a ticket. */
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
    /** Size in the weight store. */
    std::uint64_t weightBytes = 0;
    auto operator<=>(const Model &) const = default;
};

enum class ServiceKind {
    Engine, ///< Speaks the engine protocol of docs/ENGINE-PROTOCOL.md.
    Plain,  ///< Any HTTP service.
};

struct Service
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    /** Services that must have a live target for this one to be of use. */
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
    /** Requests that the target works on at the same time. */
    std::uint32_t slots = 1;
    /** Key-value cache in tokens; 0 for plain services. */
    std::uint64_t kvTokens = 0;
    /** Speed hints until speeds are learned, in tokens per second; 0 for plain services. */
    double prefillRate = 0;
    double decodeRate = 0;
    std::vector<ModelId> models;
    EngineRole role = EngineRole::Serve;
    /** Whether the target refuses orders from strangers, and orders with an old fencing number. */
    bool checksSender = false;
    bool checksFencing = false;
    auto operator<=>(const Target &) const = default;
};

struct Customer
{
    CustomerId id;
    /** SHA-256 of each bearer token, in lower-case hex. */
    std::vector<std::string> keyHashes;
    /** Over the whole fleet. */
    double requestsPerSecond = 0;
    std::uint32_t burst = 0;
    /** Share of a tier against other customers. */
    std::uint32_t weight = 1;
    RegionId homeRegion;
    auto operator<=>(const Customer &) const = default;
};

enum class Repeatability {
    Idempotent,    ///< Running twice does no harm.
    Deduplicated,  ///< The target itself runs a key only once.
    NotRepeatable, ///< Running twice does harm.
};

struct RequestClass
{
    ClassId id;
    Tier tier;
    Duration patience {};
    Repeatability repeatability = Repeatability::NotRepeatable;
    /** Expected answer in tokens until it is learned. */
    std::uint32_t expectedTokens = 256;
    auto operator<=>(const RequestClass &) const = default;
};

/** Numbers that operators may set; the defaults suit today's sites. */
struct Policy
{
    /** How long a key is remembered; resends after it are new requests. */
    Duration deduplicationWindow = std::chrono::seconds(600);
    /** How long callers keep the lookup's answer. */
    Duration lookupKeep = std::chrono::seconds(10);
    std::uint64_t maximumBodyBytes = 8ULL << 20;
    std::uint32_t maximumConnections = 12000;
    /** Bytes of finished answers that a daemon keeps for resends. */
    std::uint64_t keptAnswerBytes = 64ULL << 20;
    /** Keys that a home keeps. */
    std::uint32_t keptKeys = 200000;
    std::uint64_t weightStoreBytesPerSecond = 500ULL << 20;
    /** Targets per shard; one steward keeps a shard's ledger. */
    std::uint32_t shardTargets = 8;
    auto operator<=>(const Policy &) const = default;
};

/** The operators' text, checked whole: every reference in it is good. Immutable once in force. */
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

/** A fleet text together with the platform's revision that it came with. */
struct Configuration
{
    Generation generation;
    std::uint64_t textHash = 0;
    FleetText text;
};

} // namespace Apricothook
