#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Apricothook {

/** Strongly typed, immutable string. Names of different kinds are distinct types. */
template <typename Kind>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text)) { }
    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }
    auto operator<=>(const Name &) const = default;

private:
    std::string m_text;
};

/** Strongly typed, immutable number. Numbers of different kinds are distinct types. */
template <typename Kind>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value) : m_value(value) { }
    constexpr std::uint64_t value() const { return m_value; }
    constexpr auto operator<=>(const Number &) const = default;

private:
    std::uint64_t m_value = 0;
};

/** Name of a daemon in the roster. The replacement of a VM inherits its name. */
using MemberId = Name<struct MemberIdKind>;
/** Identifies a daemon process: chosen at start, larger than all earlier ones of its member. */
using Incarnation = Number<struct IncarnationKind>;
using TargetId = Name<struct TargetIdKind>;
/** Version of a target's software; empty if it isn't known. At most MaximumKeyBytes bytes. */
using TargetVersion = Name<struct TargetVersionKind>;
using VmId = Name<struct VmIdKind>;
using DataCentreId = Name<struct DataCentreIdKind>;
using RegionId = Name<struct RegionIdKind>;
using ServiceId = Name<struct ServiceIdKind>;
using ModelId = Name<struct ModelIdKind>;
using CustomerId = Name<struct CustomerIdKind>;
using ClassId = Name<struct ClassIdKind>;
/** Idempotency key of a request; at most MaximumKeyBytes bytes. */
using RequestKey = Name<struct RequestKeyKind>;
/** Revision of the fleet text on the platform; defines the order of configurations. */
using Generation = Number<struct GenerationKind>;
/** Hash of a prompt up to the end of a block; see docs/ENGINE-PROTOCOL.md. */
using PrefixHash = Number<struct PrefixHashKind>;
/** Part of a prompt that several requests may have in common, as named by callers. */
using PromptPartId = Name<struct PromptPartIdKind>;
/** Hash of customer, service, path and body; identifies resends of a request. */
using Fingerprint = Number<struct FingerprintKind>;
/** Number of an HTTP exchange with a caller; unique within the process of the entry daemon. */
using ExchangeId = Number<struct ExchangeIdKind>;

constexpr std::size_t MaximumKeyBytes = 256;

/** Priority class of a request; rank 1 is the most important. */
class Tier
{
public:
    constexpr Tier() = default;
    constexpr explicit Tier(std::uint8_t rank) : m_rank(rank) { }
    constexpr std::uint8_t rank() const { return m_rank; }
    constexpr bool isAbove(Tier other) const { return m_rank < other.m_rank; }
    constexpr auto operator<=>(const Tier &) const = default;

private:
    std::uint8_t m_rank = 1;
};

constexpr std::uint8_t LowestTierRank = 9;

/** A daemon process: a member and its incarnation. */
struct MemberInstance
{
    MemberId member;
    Incarnation incarnation;
    auto operator<=>(const MemberInstance &) const = default;
};

} // namespace Apricothook

template <typename Kind>
struct std::hash<Apricothook::Name<Kind>>
{
    std::size_t operator()(const Apricothook::Name<Kind> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};

template <typename Kind>
struct std::hash<Apricothook::Number<Kind>>
{
    std::size_t operator()(const Apricothook::Number<Kind> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
