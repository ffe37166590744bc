#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <unordered_set>

namespace Apricothook {

/** Fingerprints of requests that were answered lately; holds a bounded number of them. */
class AnsweredRequests
{
public:
    /** An answer is remembered for so long at least, and twice as long at most. */
    static constexpr std::chrono::seconds Memory {30};
    /** Of one half of the memory; a busy daemon answers fewer. */
    static constexpr std::size_t MostRemembered = 8192;

    void add(Fingerprint request, Instant now);
    bool contains(Fingerprint request) const;

private:
    std::unordered_set<Fingerprint> m_latest;
    std::unordered_set<Fingerprint> m_before;
    Instant m_begun {};
};

} // namespace Apricothook
