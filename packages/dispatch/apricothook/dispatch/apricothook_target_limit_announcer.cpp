#include <apricothook/dispatch/apricothook_target_limit_announcer.hpp>

namespace Apricothook {

std::string_view nameOf(TargetLimitOrigin origin)
{
    return origin == TargetLimitOrigin::Answer ? "answer" : "daemon";
}

void TargetLimitAnnouncer::observe(const TargetLimitReport &report)
{
    const TargetLimitChange change = m_limits.observe(report);
    this->report(report.target, change, TargetLimitOrigin::Answer);
    if (m_limits.isAnnouncementDue(report.target, change, report.received))
        announce(report.target, report.received);
}

void TargetLimitAnnouncer::announce(std::uint64_t target, Instant now)
{
    std::optional<TargetLimitNotice> notice = m_limits.notice(target, now);
    if (!notice)
        return;
    notice->sender = m_self;
    notice->isAnnouncement = true;
    m_limits.recordAnnouncement(target, now);
    m_messenger.broadcast(message(*notice));
}

LimitMessage TargetLimitAnnouncer::message(const TargetLimitNotice &notice) const
{
    if (m_kind == TargetLimitKind::Rejections)
        return BrittlenessNotice {notice};
    return notice;
}

void TargetLimitAnnouncer::take(const TargetLimitNotice &notice, Instant now)
{
    report(notice.target, m_limits.take(notice, now), TargetLimitOrigin::Daemon);
    if (m_limits.contradicts(notice, now))
        inform(notice.sender, notice.target, now);
}

void TargetLimitAnnouncer::inform(const Endpoint &daemon, std::uint64_t target, Instant now)
{
    std::optional<TargetLimitNotice> notice = m_limits.notice(target, now);
    if (!notice)
        return;
    notice->sender = m_self;
    m_messenger.send(daemon, message(*notice));
}

void TargetLimitAnnouncer::report(std::uint64_t target, TargetLimitChange change,
                                  TargetLimitOrigin origin)
{
    if (change != TargetLimitChange::None)
        m_listener.onTargetLimitChanged(m_kind, target, change, origin);
}

} // namespace Apricothook
