#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <unordered_set>

namespace Apricothook {

/** Fingerprints of recently answered requests, in bounded number. */
class AnsweredRequests
{
public:
    /** An answer is remembered for at least this time, and at most twice as long. */
    static constexpr std::chrono::seconds RetentionTime {30};
    /**
     * Capacity of each of the two generations; a busy daemon answers fewer requests in that time.
     */
    static constexpr std::size_t GenerationCapacity = 8192;

    void add(Fingerprint request, Instant now);
    bool contains(Fingerprint request) const;

private:
    std::unordered_set<Fingerprint> m_current;
    std::unordered_set<Fingerprint> m_previous;
    Instant m_currentSince {};
};

} // namespace Apricothook
