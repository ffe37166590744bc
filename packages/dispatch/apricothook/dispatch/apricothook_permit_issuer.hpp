#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** Answer to a request for a permit. */
struct PermitGrant
{
    PermitOutcome outcome = PermitOutcome::Granted;
    /** A target has answered the request since it was last lost. */
    bool isSound = false;
    /** Time after which the answer may be another; zero if the permit is granted. */
    Duration wait {};

    auto operator<=>(const PermitGrant &) const = default;
};

/** A permit whose holder reported nothing in its lifetime. */
struct ExpiredPermit
{
    std::uint64_t request = 0;
    std::uint64_t permit = 0;
    Instant granted {};

    auto operator<=>(const ExpiredPermit &) const = default;
};

/**
 * Grants the sends of requests, one at a time until a target has begun to answer.
 *
 * A request that crashes the targets that run it is therefore at one of them at a time, whatever
 * the daemons that send it know of each other. A request that was lost may be retried at once, but
 * only once before it is known why.
 */
class PermitIssuer
{
public:
    /** Time for which a send excludes others of the same request, unless it is lost earlier. */
    static constexpr std::chrono::milliseconds ExclusiveTime {500};
    /** Crashes, and sends that were lost for unknown reasons, that exclude further sends. */
    static constexpr std::size_t MaximumLosses = 2;
    /** The same while the fleet may have forgotten crashes, until a target has answered. */
    static constexpr std::size_t MaximumLossesIfCautious = 1;
    /** Time after which the cause of a lost send is no longer awaited. */
    static constexpr std::chrono::seconds LongestQuestion {4};
    /** Time for which a request is remembered after its last permit. */
    static constexpr std::chrono::seconds Memory {60};
    static constexpr std::size_t MaximumRequests = 8192;

    /** `isCautious`: the fleet may have forgotten crashes of the request. */
    PermitGrant grant(const PermitRequest &request, bool isCautious, Instant now);
    void take(const PermitReport &report, Instant now);
    /** Later sends exclude each other again. */
    void recordCrash(std::uint64_t request);
    /** Removes the permits whose lifetime has ended, and forgets what is too old. */
    std::vector<ExpiredPermit> review(Instant now);

private:
    struct Permit
    {
        std::uint64_t id = 0;
        Instant granted {};
        Instant expires {};
        /** When the send was reported as lost; zero if it wasn't. */
        Instant lost {};

        bool isLost() const { return lost != Instant(); }
    };
    struct Request
    {
        std::vector<Permit> open;
        bool isSound = false;
        bool wasSound = false;
        bool hasCrashed = false;
        Instant lastUse {};
    };

    /** When the next send may begin, if nothing is reported until then. */
    static Instant freeFrom(const Request &request, bool isCautious, Instant now);
    void forgetOne();

    std::map<std::uint64_t, Request> m_requests;
};

} // namespace Apricothook
