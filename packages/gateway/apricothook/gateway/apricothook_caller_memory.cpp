#include <apricothook/gateway/apricothook_caller_memory.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Apricothook {

namespace {

std::size_t largePart(std::size_t bytes)
{
    return bytes > CallerResources::SmallBytes ? bytes - CallerResources::SmallBytes : 0;
}

} // namespace

std::string_view nameOf(HeldFor purpose)
{
    switch (purpose) {
    case HeldFor::Connection:
        return "connection";
    case HeldFor::Input:
        return "input";
    case HeldFor::Body:
        return "body";
    case HeldFor::Request:
        return "request";
    case HeldFor::Response:
        break;
    }
    return "response";
}

std::string_view nameOf(EvictionCause cause)
{
    return cause == EvictionCause::Stalled ? "stalled" : "large-share";
}

CallerMemory::CallerMemory(EventLoop &loop, const CallerResources &limits)
    : m_loop(loop), m_limits(limits)
{
}

CallerMemory::~CallerMemory()
{
    m_loop.cancel(m_evictionTimer);
}

std::uint64_t CallerMemory::held() const
{
    return std::accumulate(m_held.begin(), m_held.end(), std::uint64_t {0});
}

std::uint64_t CallerMemory::held(HeldFor purpose) const
{
    return m_held[static_cast<std::size_t>(purpose)];
}

bool CallerMemory::fits(const MemoryShare &share, std::size_t bytes) const
{
    const std::uint64_t total = held() - m_evictedBytes + bytes;
    const std::uint64_t large
        = m_large - m_evictedLarge + largePart(share.m_total + bytes) - share.large();
    const bool isLarge = largePart(share.m_total + bytes) > 0;
    return total <= m_limits.heldBytes && (!isLarge || large <= m_limits.largeBytes);
}

bool CallerMemory::makeRoom(const MemoryShare &share, std::size_t bytes)
{
    if (largePart(share.m_total + bytes) > m_limits.largeBytes)
        return false;
    while (!fits(share, bytes)) {
        if (MemoryShare *stalled = largestStalled(&share)) {
            evict(*stalled, EvictionCause::Stalled);
            continue;
        }
        MemoryShare *large = largestOfOtherCustomer(share, bytes);
        if (!large)
            return false;
        evict(*large, EvictionCause::LargeShare);
    }
    return true;
}

MemoryShare *CallerMemory::largestStalled(const MemoryShare *except)
{
    const Instant now = m_loop.now();
    if (now < m_nextStall)
        return nullptr;
    MemoryShare *found = nullptr;
    // Callers that begin to be waited for later can't stall earlier than this.
    Instant next = now + StallTime;
    for (MemoryShare *share : m_shares) {
        if (!share->m_waitsForCaller || share->m_eviction || share == except)
            continue;
        next = std::min(next, share->m_progressUntil + StallTime);
        const bool isStalled = share->m_progressUntil + StallTime <= now;
        if (isStalled && (!found || share->m_total > found->m_total))
            found = share;
    }
    m_nextStall = next;
    return found;
}

MemoryShare *CallerMemory::largestOfOtherCustomer(const MemoryShare &share, std::size_t bytes)
{
    const auto largest = std::ranges::max_element(m_largeByCustomer, {},
                                                  &decltype(m_largeByCustomer)::value_type::second);
    if (largest == m_largeByCustomer.end() || largest->first == share.m_customer)
        return nullptr;
    const auto own = m_largeByCustomer.find(share.m_customer);
    const std::uint64_t wanted = (own == m_largeByCustomer.end() ? 0 : own->second) + bytes;
    if (2 * wanted > largest->second)
        return nullptr;
    MemoryShare *found = nullptr;
    for (MemoryShare *other : m_shares) {
        const bool isCandidate = other->m_waitsForCaller && !other->m_eviction
            && other->m_customer == largest->first && other->large() > 0;
        if (isCandidate && (!found || other->large() > found->large()))
            found = other;
    }
    return found;
}

bool CallerMemory::evictStalled()
{
    MemoryShare *stalled = largestStalled(nullptr);
    if (stalled)
        evict(*stalled, EvictionCause::Stalled);
    return stalled != nullptr;
}

void CallerMemory::evict(MemoryShare &share, EvictionCause cause)
{
    share.m_eviction = cause;
    m_evictedBytes += share.m_total;
    m_evictedLarge += share.large();
    m_evicted.push_back(&share);
    // The owner may be in the middle of the event that needs the room.
    if (m_evictionTimer == 0)
        m_evictionTimer = m_loop.after(Duration::zero(), [this] {
            m_evictionTimer = 0;
            runEvictions();
        });
}

void CallerMemory::runEvictions()
{
    // An eviction may cause others, which are added at the end.
    for (std::size_t index = 0; index < m_evicted.size(); ++index) {
        if (!m_evicted[index])
            continue;
        MemoryShare &evicted = *std::exchange(m_evicted[index], nullptr);
        m_evictedBytes -= evicted.m_total;
        m_evictedLarge -= evicted.large();
        const EvictionCause cause = *std::exchange(evicted.m_eviction, std::nullopt);
        // Since then the caller may have sent or read the rest.
        if (evicted.m_waitsForCaller)
            evicted.m_owner.onEvicted(cause);
    }
    m_evicted.clear();
}

void CallerMemory::add(MemoryShare &share)
{
    share.m_position = m_shares.insert(m_shares.end(), &share);
}

void CallerMemory::remove(MemoryShare &share)
{
    m_shares.erase(share.m_position);
    std::ranges::replace(m_evicted, &share, nullptr);
}

void CallerMemory::apply(const MemoryShare &share, HeldFor purpose, std::size_t before,
                         std::size_t after)
{
    m_held[static_cast<std::size_t>(purpose)] += after - before;
    const std::size_t largeBefore = largePart(share.m_total + before - after);
    const std::size_t largeAfter = share.large();
    m_large += largeAfter - largeBefore;
    if (share.m_eviction) {
        m_evictedBytes += after - before;
        m_evictedLarge += largeAfter - largeBefore;
    }
    if (largeBefore == largeAfter)
        return;
    std::uint64_t &ofCustomer = m_largeByCustomer[share.m_customer];
    ofCustomer += largeAfter - largeBefore;
    if (ofCustomer == 0)
        m_largeByCustomer.erase(share.m_customer);
}

MemoryShare::MemoryShare(CallerMemory &memory, MemoryShareOwner &owner)
    : m_memory(memory), m_owner(owner)
{
    m_memory.add(*this);
}

MemoryShare::~MemoryShare()
{
    for (std::size_t purpose = 0; purpose < HeldForCount; ++purpose)
        record(static_cast<HeldFor>(purpose), 0);
    m_memory.remove(*this);
}

std::size_t MemoryShare::large() const
{
    return largePart(m_total);
}

bool MemoryShare::reserve(HeldFor purpose, std::size_t bytes)
{
    const std::size_t before = this->bytes(purpose);
    if (bytes > before && !m_memory.makeRoom(*this, bytes - before))
        return false;
    record(purpose, bytes);
    return true;
}

void MemoryShare::record(HeldFor purpose, std::size_t bytes)
{
    std::size_t &held = m_bytes[static_cast<std::size_t>(purpose)];
    const std::size_t before = std::exchange(held, bytes);
    if (before == bytes)
        return;
    m_total += bytes - before;
    m_memory.apply(*this, purpose, before, bytes);
    if (bytes > before)
        static_cast<void>(m_memory.makeRoom(*this, 0));
}

void MemoryShare::setCustomer(std::uint64_t customer)
{
    if (m_customer == customer)
        return;
    std::array<std::size_t, HeldForCount> held = m_bytes;
    for (std::size_t purpose = 0; purpose < HeldForCount; ++purpose)
        record(static_cast<HeldFor>(purpose), 0);
    m_customer = customer;
    for (std::size_t purpose = 0; purpose < HeldForCount; ++purpose)
        record(static_cast<HeldFor>(purpose), held[purpose]);
}

void MemoryShare::setWaitsForCaller(bool waits)
{
    if (waits && !m_waitsForCaller)
        m_progressUntil = m_memory.m_loop.now();
    m_waitsForCaller = waits;
}

void MemoryShare::recordProgress(std::size_t bytes)
{
    const auto gained = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / CallerMemory::LeastRate));
    m_progressUntil = std::min(m_memory.m_loop.now(), m_progressUntil + gained);
}

} // namespace Apricothook
