#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>

namespace Apricothook {

/** What a stream began at. It goes on only at targets of the same service and version. */
struct StreamOrigin
{
    std::uint64_t service = 0; ///< serviceHash() of the service's name.
    TargetVersion version;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.service, self.version);
    }
    auto operator<=>(const StreamOrigin &) const = default;
};

/** Tells a daemon what a stream began at, in case that a caller takes it up there. */
struct StreamOriginNotice
{
    std::uint64_t stream = 0; ///< streamHash() of the caller's request that began the stream.
    StreamOrigin origin;
    /** Milliseconds after which no caller takes the stream up any more. */
    std::uint32_t lifetimeMs = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.stream, self.origin, self.lifetimeMs);
    }
    auto operator<=>(const StreamOriginNotice &) const = default;
};

/** Asks a daemon what a stream began at; answered with a StreamOriginReply. */
struct StreamOriginQuery
{
    /** Address of the sender's datagrams. */
    Endpoint sender;
    std::uint64_t stream = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.stream);
    }
    auto operator<=>(const StreamOriginQuery &) const = default;
};

struct StreamOriginReply
{
    std::uint64_t member = 0; ///< memberHash() of the answering daemon.
    /** The origin, if the daemon knows it. */
    bool isKnown = false;
    StreamOriginNotice notice;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.isKnown, self.notice);
    }
    auto operator<=>(const StreamOriginReply &) const = default;
};

} // namespace Apricothook
