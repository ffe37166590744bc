#include <apricothook/gateway/apricothook_channel_pool.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::chrono::seconds SweepInterval {1};

} // namespace

ChannelPool::ChannelPool(EventLoop &loop, const WireProtocol &protocol, LogWriter &log,
                         TargetConnector &connector)
    : m_loop(loop), m_protocol(protocol), m_log(log), m_connector(connector)
{
    scheduleSweep();
}

ChannelPool::~ChannelPool()
{
    m_loop.cancel(m_sweepTimer);
}

void ChannelPool::scheduleSweep()
{
    m_sweepTimer = m_loop.after(SweepInterval, [this] {
        closeExpired();
        scheduleSweep();
    });
}

bool ChannelPool::isUsable(const TargetChannel &channel, bool isRetryable) const
{
    const Duration idle = m_loop.now() - channel.idleSince();
    Duration limit = isRetryable ? Duration(IdleLimit) : Duration(NonRetryableIdleLimit);
    if (channel.keepAliveTimeout())
        limit = std::min(
            limit,
            std::chrono::duration_cast<Duration>(*channel.keepAliveTimeout() * KeepAliveFraction));
    return idle < limit && m_connector.isUsable(channel.target(), channel.relay());
}

TargetChannel &ChannelPool::acquire(const TargetEntry &target, const RequestKey &request,
                                    bool isRetryable)
{
    std::vector<TargetChannel *> &idle = m_idle[target.id];
    if (!idle.empty() && idle.back()->target().instance() == target.instance()
        && idle.back()->target().address == target.address && isUsable(*idle.back(), isRetryable)) {
        TargetChannel &channel = *idle.back();
        idle.pop_back();
        return channel;
    }
    TargetChannelOwner &owner = *this;
    m_channels.push_back(
        std::make_unique<TargetChannel>(m_loop, m_protocol, owner, m_connector, target, request));
    return *m_channels.back();
}

void ChannelPool::closeIdle(const TargetId &target)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end())
        return;
    const std::vector<TargetChannel *> idle = std::move(found->second);
    m_idle.erase(found);
    for (TargetChannel *channel : idle)
        channel->close();
}

void ChannelPool::closeExpired()
{
    std::vector<TargetChannel *> old;
    for (const auto &[target, idle] : m_idle) {
        for (TargetChannel *channel : idle) {
            if (!isUsable(*channel, true))
                old.push_back(channel);
        }
    }
    for (TargetChannel *channel : old)
        channel->close();
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void ChannelPool::onChannelIdle(TargetChannel &channel)
{
    m_idle[channel.target().id].push_back(&channel);
}

void ChannelPool::onChannelClosed(TargetChannel &channel)
{
    const auto idle = m_idle.find(channel.target().id);
    if (idle != m_idle.end())
        std::erase(idle->second, &channel);
    const auto found
        = std::ranges::find(m_channels, &channel, &std::unique_ptr<TargetChannel>::get);
    if (found == m_channels.end())
        return;
    // Called from a member function of the channel, so it is destroyed after the event.
    m_loop.defer([gone = std::shared_ptr<TargetChannel>(std::move(*found))] {});
    m_channels.erase(found);
}

void ChannelPool::onUnexpectedResponse(const TargetChannel &channel)
{
    m_log.write(LogEvent(GatewayEvent::AnswerDiscarded).with("target", channel.target().id.text()));
}

} // namespace Apricothook
