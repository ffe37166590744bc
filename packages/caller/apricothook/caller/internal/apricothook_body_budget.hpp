#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Apricothook {

/** Bytes of bodies that the daemon holds, over all connections. Safe to use from any thread. */
class BodyBudget
{
public:
    /** False when `bytes` more would be over `limit`; nothing is taken then. */
    bool take(std::uint64_t bytes, std::uint64_t limit);
    void giveBack(std::uint64_t bytes) { m_held -= bytes; }
    std::uint64_t held() const { return m_held; }

private:
    std::atomic<std::uint64_t> m_held = 0;
};

/**
 * A body whose bytes are given back to the budget when its last owner lets go. `body` was taken
 * from the budget before.
 */
std::shared_ptr<const std::string> holdBody(std::string body, std::shared_ptr<BodyBudget> budget);

} // namespace Apricothook
