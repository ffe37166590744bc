#pragma once

#include <apricothook/dispatch/apricothook_stream_origin_messages.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Apricothook {

/** Identifies a stream by the caller's request that brought its first event. */
std::uint64_t streamHash(const RequestKey &request);

/** The origin of a stream, and how long it is remembered. */
struct RememberedOrigin
{
    StreamOrigin origin;
    Instant until {};

    auto operator<=>(const RememberedOrigin &) const = default;
};

/** The origins of streams that this daemon remembers, a bounded number of them. */
class StreamOrigins
{
public:
    static constexpr std::size_t MaximumStreams = 65536;

    /**
     * Remembers the origin. A stream with two origins isn't known any more: its id was used twice.
     * Returns false if the table was full, and another stream was forgotten for this one.
     */
    bool put(std::uint64_t stream, const StreamOrigin &origin, Instant until);
    std::optional<RememberedOrigin> find(std::uint64_t stream, Instant now) const;
    /** Forgets the streams that no caller takes up any more. */
    void review(Instant now);
    std::size_t size() const { return m_streams.size(); }

private:
    struct Entry
    {
        RememberedOrigin remembered;
        bool isContradictory = false;
    };

    bool makeRoom();

    std::unordered_map<std::uint64_t, Entry> m_streams;
    std::set<std::pair<Instant, std::uint64_t>> m_byEnd;
};

} // namespace Apricothook
