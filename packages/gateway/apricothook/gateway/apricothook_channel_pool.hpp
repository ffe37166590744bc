#pragma once

#include <apricothook/gateway/apricothook_target_channel.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <list>
#include <map>
#include <memory>

namespace Apricothook {

/** Connection pool: reuses idle channels, as a new one costs at least a round trip. */
class ChannelPool : private TargetChannelOwner
{
public:
    /** Idle time after which a channel is closed, unless the target's keep-alive time is shorter.
     */
    static constexpr std::chrono::milliseconds IdleLimit {4000};
    /** Fraction of the target's keep-alive time for which an idle channel is used. */
    static constexpr double KeepAliveFraction = 0.6;
    /**
     * Idle time up to which a channel is used for a request that must not run twice. If the target
     * closes the channel just as the request is sent, it is unknown whether the request ran.
     */
    static constexpr std::chrono::milliseconds NonRetryableIdleLimit {1000};

    ChannelPool(EventLoop &loop, const WireProtocol &protocol, LogWriter &log,
                TargetConnector &connector);
    ~ChannelPool() override;
    ChannelPool(const ChannelPool &) = delete;
    ChannelPool &operator=(const ChannelPool &) = delete;

    /** Returns an idle channel to the target, or a new one that is still connecting. */
    TargetChannel &acquire(const TargetEntry &target, const RequestKey &request, bool isRetryable);
    /** Closes the idle channels to the target; requests in progress keep theirs. */
    void closeIdle(const TargetId &target);
    std::size_t size() const { return m_channels.size(); }

private:
    using Channels = std::list<std::unique_ptr<TargetChannel>>;

    void onChannelIdle(TargetChannel &channel) override;
    void onChannelClosed(TargetChannel &channel) override;
    void onUnexpectedResponse(const TargetChannel &channel) override;
    void closeExpired();
    bool isUsable(const TargetChannel &channel, bool isRetryable) const;
    void scheduleSweep();

    EventLoop &m_loop;
    const WireProtocol &m_protocol;
    LogWriter &m_log;
    TargetConnector &m_connector;
    Channels m_channels;
    /** Most recently used last; these are reused first, so that surplus channels expire. */
    std::map<TargetId, std::vector<TargetChannel *>> m_idle;
    TimerId m_sweepTimer = 0;
};

} // namespace Apricothook
