#pragma once

#include <apricothook/gateway/apricothook_target_channel.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <list>
#include <map>
#include <memory>

namespace Apricothook {

/** Keeps idle channels to targets for the next request; new ones cost a round trip and more. */
class ChannelPool : private TargetChannelOwner
{
public:
    /** Idle time after which a channel is closed, unless the target said a shorter one. */
    static constexpr std::chrono::milliseconds IdleLimit {4000};
    /** Part of the time that a target keeps a connection after which it isn't trusted. */
    static constexpr double TrustedPart = 0.6;
    /**
     * Idle time up to which a channel carries a request that must not run twice: on one that the
     * target is just closing, nobody could tell whether it ran.
     */
    static constexpr std::chrono::milliseconds FreshLimit {1000};

    ChannelPool(EventLoop &loop, const WireProtocol &dialect, LogWriter &log);
    ~ChannelPool() override;
    ChannelPool(const ChannelPool &) = delete;
    ChannelPool &operator=(const ChannelPool &) = delete;

    /** An idle channel to the target, or a new one that is still connecting. */
    TargetChannel &acquire(const TargetEntry &target, bool mayRunAgain);
    /** Closes the idle channels to a target that is gone. */
    void forget(const TargetId &target);
    std::size_t size() const { return m_channels.size(); }

private:
    using Channels = std::list<std::unique_ptr<TargetChannel>>;

    void onChannelIdle(TargetChannel &channel) override;
    void onChannelClosed(TargetChannel &channel) override;
    void onStrayAnswer(const TargetChannel &channel) override;
    void closeOld();
    bool isUsable(const TargetChannel &channel, bool mayRunAgain) const;
    void scheduleSweep();

    EventLoop &m_loop;
    const WireProtocol &m_dialect;
    LogWriter &m_log;
    Channels m_channels;
    /** The last one was used last; using it first lets the others grow old and close. */
    std::map<TargetId, std::vector<TargetChannel *>> m_idle;
    TimerId m_sweep = 0;
};

} // namespace Apricothook
