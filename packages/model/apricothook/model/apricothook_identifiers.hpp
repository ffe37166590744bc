#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Apricothook {

/** An immutable name of one kind of thing; kinds don't mix. */
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

/** An immutable number of one kind of thing; kinds don't mix. */
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

/** The name of a daemon in the roster; a replaced VM takes the name over. */
using MemberId = Name<struct MemberIdKind>;
/** The life of one daemon process: drawn at start, larger than any earlier one of that member. */
using Incarnation = Number<struct IncarnationKind>;
using TargetId = Name<struct TargetIdKind>;
using VmId = Name<struct VmIdKind>;
using DataCentreId = Name<struct DataCentreIdKind>;
using RegionId = Name<struct RegionIdKind>;
using ServiceId = Name<struct ServiceIdKind>;
using ModelId = Name<struct ModelIdKind>;
using CustomerId = Name<struct CustomerIdKind>;
using ClassId = Name<struct ClassIdKind>;
/** The idempotency key of a request; at most MaximumKeyBytes bytes. */
using RequestKey = Name<struct RequestKeyKind>;
/** The platform's revision of the fleet text; orders configurations. */
using Generation = Number<struct GenerationKind>;
/** The hash of a prompt up to the end of one block; see docs/ENGINE-PROTOCOL.md. */
using PrefixHash = Number<struct PrefixHashKind>;
/** The hash of customer, service, path and body; recognises a request that is sent again. */
using Fingerprint = Number<struct FingerprintKind>;
/** One HTTP exchange with a caller, numbered by the entry daemon; never reused in a process. */
using ExchangeId = Number<struct ExchangeIdKind>;

constexpr std::size_t MaximumKeyBytes = 256;

/** Rank of a request: 1 is the most important. */
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

/** A daemon process: its member and the life it is in. */
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
