#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/gateway/apricothook_caller_resources.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** What bytes are held for. */
enum class HeldFor {
    Connection, ///< The connection's own state.
    Input,      ///< Heads that are incomplete, and input that can't be processed yet.
    Body,       ///< Incomplete bodies.
    Request,    ///< Complete requests that wait for a target or run.
    Response,   ///< Responses that aren't sent yet.
};
constexpr std::size_t HeldForCount = 5;

std::string_view nameOf(HeldFor purpose);

/** Why a connection has to give its bytes up. */
enum class EvictionCause {
    Stalled,    ///< Its caller neither sends nor reads.
    LargeShare, ///< Its customer holds far more than the one that needs room.
};

std::string_view nameOf(EvictionCause cause);

class MemoryShare;

/** Owns a share, and gives it up on demand. */
class MemoryShareOwner
{
public:
    virtual ~MemoryShareOwner() = default;
    /** Called after the event in which the room was needed. */
    virtual void onEvicted(EvictionCause cause) = 0;
};

/**
 * The bytes held for all callers of a daemon, and their limit.
 *
 * Each connection has a share and enters there what it holds, for whatever purpose. When there is
 * no room, a share whose caller makes no progress is evicted, then one of a customer that holds far
 * more than the customer that needs room; if there is neither, the bytes are refused.
 */
class CallerMemory
{
public:
    /** A caller without progress for so long may be evicted when there is no room. */
    static constexpr std::chrono::milliseconds StallTime {1000};
    /** Bytes per second below which a caller makes no progress. */
    static constexpr std::uint64_t LeastRate = 4096;

    CallerMemory(EventLoop &loop, const CallerResources &limits);
    ~CallerMemory();
    CallerMemory(const CallerMemory &) = delete;
    CallerMemory &operator=(const CallerMemory &) = delete;

    const CallerResources &limits() const { return m_limits; }
    std::uint64_t held() const;
    std::uint64_t held(HeldFor purpose) const;
    /** Whether no request should be begun, as responses take up more than there is. */
    bool isFull() const { return held() > m_limits.heldBytes; }
    /** Whether responses should be read from targets only as fast as callers take them. */
    bool isShort() const { return held() > m_limits.heldBytes / 2; }
    /** Evicts a share whose caller makes no progress; false if there is none. */
    bool evictStalled();

private:
    friend class MemoryShare;

    /** Whether there is room, after evictions if necessary. */
    bool makeRoom(const MemoryShare &share, std::size_t bytes);
    bool fits(const MemoryShare &share, std::size_t bytes) const;
    /** The largest share, but for one, whose caller makes no progress; null if there is none. */
    MemoryShare *largestStalled(const MemoryShare *except);
    MemoryShare *largestOfOtherCustomer(const MemoryShare &share, std::size_t bytes);
    void evict(MemoryShare &share, EvictionCause cause);
    void runEvictions();
    void add(MemoryShare &share);
    void remove(MemoryShare &share);
    void apply(const MemoryShare &share, HeldFor purpose, std::size_t before, std::size_t after);

    EventLoop &m_loop;
    const CallerResources m_limits;
    std::list<MemoryShare *> m_shares;
    std::array<std::uint64_t, HeldForCount> m_held {};
    /** What shares hold beyond CallerResources::SmallBytes each. */
    std::uint64_t m_large = 0;
    /** Bytes, and large ones, of the shares that are being evicted. */
    std::uint64_t m_evictedBytes = 0;
    std::uint64_t m_evictedLarge = 0;
    /** Large bytes by customer; without those that hold none. */
    std::unordered_map<std::uint64_t, std::uint64_t> m_largeByCustomer;
    std::vector<MemoryShare *> m_evicted;
    TimerId m_evictionTimer = 0;
    /** Before this time no share is stalled. */
    Instant m_nextStall {};
};

/** What one connection holds; all of it is given back with the share. */
class MemoryShare
{
public:
    MemoryShare(CallerMemory &memory, MemoryShareOwner &owner);
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /** Sets the bytes held for the purpose if there is room for them. */
    [[nodiscard]] bool reserve(HeldFor purpose, std::size_t bytes);
    /** Sets the bytes that are held for the purpose already; others are evicted if needed. */
    void record(HeldFor purpose, std::size_t bytes);
    /** The customer that the bytes are held for; zero while unknown. */
    void setCustomer(std::uint64_t customer);
    /** Whether the bytes are held until the caller sends or reads on. */
    void setWaitsForCaller(bool waits);
    /** The caller has sent or taken so many bytes. */
    void recordProgress(std::size_t bytes);

    std::size_t bytes() const { return m_total; }
    std::size_t bytes(HeldFor purpose) const { return m_bytes[static_cast<std::size_t>(purpose)]; }

private:
    friend class CallerMemory;

    std::size_t large() const;

    CallerMemory &m_memory;
    MemoryShareOwner &m_owner;
    std::array<std::size_t, HeldForCount> m_bytes {};
    std::size_t m_total = 0;
    std::uint64_t m_customer = 0;
    bool m_waitsForCaller = false;
    std::optional<EvictionCause> m_eviction;
    /** The caller's progress is enough for the time until then. */
    Instant m_progressUntil {};
    std::list<MemoryShare *>::iterator m_position;
};

} // namespace Apricothook
