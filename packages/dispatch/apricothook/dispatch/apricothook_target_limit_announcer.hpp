#pragma once

#include <apricothook/dispatch/apricothook_target_limits.hpp>

namespace Apricothook {

/** Where a change of a target's limit was learned. */
enum class TargetLimitOrigin {
    Answer, ///< An answer of the target to this daemon.
    Daemon, ///< Another daemon.
};

std::string_view nameOf(TargetLimitOrigin origin);

/** What a target's limit counts. */
enum class TargetLimitKind {
    Requests,   ///< Requests per second that it takes.
    Rejections, ///< Requests per second that it can reject for lack of room without crashing.
};

/** Notified when this daemon's knowledge of a target's limit has changed. */
class TargetLimitListener
{
public:
    virtual ~TargetLimitListener() = default;
    virtual void onTargetLimitChanged(TargetLimitKind kind, std::uint64_t target,
                                      TargetLimitChange change, TargetLimitOrigin origin)
        = 0;
};

/**
 * Lets all daemons know the limits that targets name to some of them.
 *
 * A daemon announces a limit to all others when an answer changes what it knows, and again while
 * answers name it, at an interval that the daemons share. A daemon that asks for a unit of a limit
 * tells the grantor of the limit first. A daemon that has a later observation replies with it.
 */
class TargetLimitAnnouncer
{
public:
    /** `self`: address of this daemon's datagrams. */
    TargetLimitAnnouncer(TargetLimitKind kind, Endpoint self, LimitMessenger &messenger,
                         TargetLimitListener &listener)
        : m_kind(kind), m_self(std::move(self)), m_messenger(messenger), m_listener(listener)
    {
    }

    /** Takes what an answer of the target to this daemon tells. */
    void observe(const TargetLimitReport &report);
    void take(const TargetLimitNotice &notice, Instant now);
    /** Tells the daemon the target's limit, if there is one; to be called before it is asked for
     * units. */
    void inform(const Endpoint &daemon, std::uint64_t target, Instant now);
    /** Forgets limits that are over; `isKnown`: whether the target is registered. */
    void review(const std::function<bool(std::uint64_t target)> &isKnown, Instant now)
    {
        m_limits.review(isKnown, now);
    }
    const TargetLimits &limits() const { return m_limits; }

private:
    void announce(std::uint64_t target, Instant now);
    void report(std::uint64_t target, TargetLimitChange change, TargetLimitOrigin origin);

    LimitMessage message(const TargetLimitNotice &notice) const;

    const TargetLimitKind m_kind;
    const Endpoint m_self;
    LimitMessenger &m_messenger;
    TargetLimitListener &m_listener;
    TargetLimits m_limits;
};

} // namespace Apricothook
