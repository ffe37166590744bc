#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Apricothook {

/** Put the configuration in force, whole; its generation is higher than any before. */
struct ApplyConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    /** The bytes as read, to offer to peers. */
    std::shared_ptr<const std::string> text;
    /** True when no member had a configuration when this daemon joined: the whole fleet is new. */
    bool isFleetNew = false;
};

struct FetchText
{
    Endpoint peer;
    Generation generation;
    std::uint64_t textHash = 0;
    auto operator<=>(const FetchText &) const = default;
};

struct SetWatching
{
    bool isWatching = false;
    Generation after;
    auto operator<=>(const SetWatching &) const = default;
};

struct ReadPlatform
{
    Generation after;
    auto operator<=>(const ReadPlatform &) const = default;
};

/** Put the list of leaving VMs in force; its revision is higher than any before. */
struct ApplyVmList
{
    VmList list;
    auto operator<=>(const ApplyVmList &) const = default;
};

using ConfigurationAction
    = std::variant<ApplyConfiguration, FetchText, SetWatching, ReadPlatform, ApplyVmList>;

/** What the keeper wants done; the core performs it in order. */
struct ConfigurationOutput
{
    Outbox outbox;
    std::vector<ConfigurationAction> actions;
};

} // namespace Apricothook
