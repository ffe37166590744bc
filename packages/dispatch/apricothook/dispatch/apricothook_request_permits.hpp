#pragma once

#include <apricothook/dispatch/apricothook_request_traits.hpp>
#include <apricothook/dispatch/apricothook_send_permits.hpp>
#include <apricothook/dispatch/apricothook_service_losses.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** What the permit of a request is needed for. */
struct PermitNeeds
{
    /** Trait of the content, unless its sends need no permit. */
    std::optional<std::uint64_t> content;
    /** Parts of the prompt of which other daemons may know crashes. */
    std::vector<std::uint64_t> parts;

    bool isEmpty() const { return !content && parts.empty(); }
    auto operator<=>(const PermitNeeds &) const = default;
};

/**
 * Asks the daemons that issue the permits of a request's traits at the same time, and decides once
 * all have granted theirs, or one hasn't.
 */
class RequestPermits : private PermitListener
{
public:
    /** `listener`: gets the decisions of whole requests. */
    RequestPermits(LimitPeer self, LimitMessenger &messenger, RandomSource &random,
                   PermitListener &listener, SuspectAnnouncer &announcer);

    /** What the request needs a permit for, if it isn't suspect. */
    PermitNeeds needs(const RequestTraits &request, const ServiceId &service,
                      const ServiceLosses &losses, Instant now) const;
    /**
     * Returns the decision, or nothing if it comes later. A refusal may name the permit of the
     * content that was granted before; it must be reported as unused.
     */
    std::optional<PermitDecision> acquire(ExchangeId exchange, const PermitNeeds &needs,
                                          Duration lifetime, Instant now);
    /** `exchange`: of a decision that hasn't come. */
    void cancel(ExchangeId exchange, Instant now);
    /** The permits of contents that this daemon holds and issues. */
    SendPermits &permits() { return m_permits; }
    const SendPermits &permits() const { return m_permits; }

private:
    /** The inquiries for one request. */
    struct Group
    {
        ExchangeId exchange;
        std::vector<ExchangeId> open;
        std::optional<ExchangeId> content;
        /** What is known of all that were decided; the permit is the content's. */
        PermitDecision granted;
        std::optional<PermitDecision> refused;
    };

    void onPermitDecided(ExchangeId inquiry, const PermitDecision &decision) override;
    void onPermitExpired(const ExpiredPermit &permit) override;
    static void add(Group &group, ExchangeId inquiry, const PermitDecision &decision);
    static bool isDecided(const Group &group) { return group.refused || group.open.empty(); }
    /** Ends what is still open. */
    PermitDecision conclude(const Group &group);

    PermitListener &m_listener;
    const SuspectAnnouncer &m_announcer;
    SendPermits m_permits;
    std::vector<Group> m_groups;
    std::uint64_t m_lastInquiry = 0;
};

} // namespace Apricothook
